//! The protocol between replicas. A connection begins with a [`Hello`] and then carries frames in one direction. A
//! frame has the length of its body, the body's checksum and the body: a [`Message`] encoded with postcard. Raft's own
//! Protobuf encoding is not used, so that bytes from a peer reach no other parser than postcard's.

use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest body of a frame. The longest messages have a snapshot of the whole state.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// The first bytes of each connection: the name of the protocol and its version.
const PROTOCOL_MAGIC: [u8; 8] = *b"FIRRAFT\x01";

/// The cluster and the id of the replica that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub cluster: u64,
    pub from: u64,
}

/// A Raft message, with the fields of [`pb::Message`]. postcard encodes them by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    kind: i32,
    to: u64,
    from: u64,
    term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<store::Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<store::Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// Why a connection to or from a peer failed.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The peer sent no valid [`Hello`] in time, or does not belong to the cluster, or sent a message with another
    /// sender or recipient than the connection's.
    #[error("the peer is not a known replica of this cluster, or uses another protocol version")]
    UnexpectedPeer,
    #[error("frame of {0} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    FrameTooLong(usize),
    #[error("frame checksum mismatch")]
    ChecksumMismatch,
    #[error("frame can't be decoded or encoded: {0}")]
    Encoding(#[from] postcard::Error),
}

/// Converts an entry to the form in which it is stored and sent.
pub fn from_raft_entry(entry: &pb::Entry) -> store::Entry {
    store::Entry {
        index: entry.index,
        term: entry.term,
        kind: entry.entry_type as i32,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

/// Converts an entry to Raft's form.
pub fn to_raft_entry(entry: store::Entry) -> pb::Entry {
    let mut out = pb::Entry::default();
    out.set_entry_type(match entry.kind {
        1 => pb::EntryType::EntryConfChange,
        2 => pb::EntryType::EntryConfChangeV2,
        _ => pb::EntryType::EntryNormal,
    });
    (out.index, out.term) = (entry.index, entry.term);
    (out.data, out.context) = (entry.data.into(), entry.context.into());
    out
}

/// Converts a snapshot to the form in which it is stored and sent.
pub fn from_raft_snapshot(snapshot: &pb::Snapshot) -> store::Snapshot {
    let meta = snapshot.get_metadata();
    store::Snapshot {
        index: meta.index,
        term: meta.term,
        voters: meta.get_conf_state().voters.clone(),
        data: snapshot.data.to_vec(),
    }
}

/// Converts a snapshot to Raft's form.
pub fn to_raft_snapshot(snapshot: store::Snapshot) -> pb::Snapshot {
    let mut out = pb::Snapshot::default();
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (snapshot.index, snapshot.term);
    meta.mut_conf_state().voters = snapshot.voters;
    out.data = snapshot.data.into();
    out
}

impl Message {
    /// Converts a message from Raft's form.
    pub fn from_raft(message: &pb::Message) -> Message {
        let snapshot = message.get_snapshot();
        Message {
            kind: message.get_msg_type() as i32,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(from_raft_entry).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: (snapshot.get_metadata().index > 0).then(|| from_raft_snapshot(snapshot)),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }

    /// Converts the message to Raft's form. Returns `None` for a type that replicas don't send to each other.
    pub fn into_raft(self) -> Option<pb::Message> {
        use pb::MessageType;
        const PEER_MESSAGE_TYPES: [MessageType; 13] = [
            MessageType::MsgAppend,
            MessageType::MsgAppendResponse,
            MessageType::MsgRequestVote,
            MessageType::MsgRequestVoteResponse,
            MessageType::MsgSnapshot,
            MessageType::MsgHeartbeat,
            MessageType::MsgHeartbeatResponse,
            MessageType::MsgTransferLeader,
            MessageType::MsgTimeoutNow,
            MessageType::MsgReadIndex,
            MessageType::MsgReadIndexResp,
            MessageType::MsgRequestPreVote,
            MessageType::MsgRequestPreVoteResponse,
        ];
        let message_type = PEER_MESSAGE_TYPES.into_iter().find(|&known| known as i32 == self.kind)?;
        let mut out = pb::Message::default();
        out.set_msg_type(message_type);
        (out.to, out.from, out.term) = (self.to, self.from, self.term);
        (out.log_term, out.index) = (self.log_term, self.index);
        out.entries = self.entries.into_iter().map(to_raft_entry).collect::<Vec<_>>().into();
        (out.commit, out.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = self.snapshot {
            out.set_snapshot(to_raft_snapshot(snapshot));
        }
        (out.request_snapshot, out.reject, out.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        (out.context, out.priority) = (self.context.into(), self.priority);
        Some(out)
    }

    /// The id of the replica that the message is for.
    pub fn to(&self) -> u64 {
        self.to
    }

    /// The id of the replica that sent the message.
    pub fn from(&self) -> u64 {
        self.from
    }
}

/// Encodes a message as a frame.
pub fn encode_frame(message: &Message) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_stdvec(message)?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(WireError::FrameTooLong(body.len()));
    }
    let mut out = Vec::with_capacity(8 + body.len());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

/// Reads a frame and decodes its message.
pub async fn read_frame(input: &mut (impl AsyncRead + Unpin)) -> Result<Message, WireError> {
    let (length, checksum) = (input.read_u32_le().await? as usize, input.read_u32_le().await?);
    if length > MAX_FRAME_BYTES {
        return Err(WireError::FrameTooLong(length));
    }
    // The buffer grows with the received bytes. It is not allocated by the length, which a peer could make up.
    let mut body = Vec::new();
    input.take(length as u64).read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    if crc32fast::hash(&body) != checksum {
        return Err(WireError::ChecksumMismatch);
    }
    Ok(postcard::from_bytes(&body)?)
}

/// Begins a connection: sends the magic bytes and the hello.
pub async fn send_hello(output: &mut (impl AsyncWrite + Unpin), hello: Hello) -> Result<(), WireError> {
    output.write_all(&PROTOCOL_MAGIC).await?;
    output.write_u64_le(hello.cluster).await?;
    Ok(output.write_u64_le(hello.from).await?)
}

/// Reads the beginning of a connection that [`send_hello`] opened.
pub async fn read_hello(input: &mut (impl AsyncRead + Unpin)) -> Result<Hello, WireError> {
    let mut magic = [0; PROTOCOL_MAGIC.len()];
    input.read_exact(&mut magic).await?;
    if magic != PROTOCOL_MAGIC {
        return Err(WireError::UnexpectedPeer);
    }
    Ok(Hello { cluster: input.read_u64_le().await?, from: input.read_u64_le().await? })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn example_message() -> Message {
        let mut raft = pb::Message::default();
        raft.set_msg_type(pb::MessageType::MsgSnapshot);
        (raft.to, raft.from, raft.term, raft.index) = (2, 1, 7, 41);
        let data = b"put".to_vec();
        let entry = store::Entry { index: 42, term: 7, kind: 0, data, context: vec![1] };
        raft.entries = vec![to_raft_entry(entry)].into();
        let voters = vec![1, 2, 3];
        raft.set_snapshot(to_raft_snapshot(store::Snapshot {
            index: 9,
            term: 3,
            voters,
            data: vec![5; 100],
        }));
        Message::from_raft(&raft)
    }

    #[tokio::test]
    async fn message_is_unchanged_by_encoding_and_decoding() {
        let message = example_message();
        let frame = encode_frame(&message).unwrap();
        let decoded = read_frame(&mut frame.as_slice()).await.unwrap();
        assert_eq!(decoded, message);
        assert_eq!(Message::from_raft(&decoded.into_raft().unwrap()), message);
    }

    #[tokio::test]
    async fn truncated_changed_or_too_long_frames_are_rejected() {
        let frame = encode_frame(&example_message()).unwrap();
        for length in 0..frame.len() {
            assert!(read_frame(&mut &frame[..length]).await.is_err());
        }
        for position in 4..frame.len() {
            let mut changed = frame.clone();
            changed[position] ^= 1;
            assert!(
                matches!(read_frame(&mut changed.as_slice()).await, Err(WireError::ChecksumMismatch)),
                "byte {position}"
            );
        }
        let too_long = [u32::MAX.to_le_bytes(), [0; 4]].concat();
        assert!(matches!(read_frame(&mut too_long.as_slice()).await, Err(WireError::FrameTooLong(_))));
    }
}
