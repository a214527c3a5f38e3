//! Raft's messages in a form of our own, and their frames: length, checksum, postcard. Bytes of a peer never reach
//! another parser.

use raft::eraftpb as pb;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest frame: a snapshot of the whole state.
const LONGEST: usize = 256 << 20;
/// What each connection begins with: what it is, and the form's version.
const HELLO: [u8; 8] = *b"FIRRAFT\x01";

/// Who speaks on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub cluster: u64,
    pub from: u64,
}

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

/// Why a frame was not read.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("expected a replica's greeting of this form")]
    Hello,
    #[error("a frame of {0} bytes, where {LONGEST} are the most")]
    Long(usize),
    #[error("a frame whose checksum does not fit")]
    Sum,
    #[error("a frame that can't be read: {0}")]
    Form(#[from] postcard::Error),
}

pub fn entry(entry: &pb::Entry) -> store::Entry {
    store::Entry {
        index: entry.index,
        term: entry.term,
        kind: entry.entry_type as i32,
        data: entry.data.to_vec(),
        context: entry.context.to_vec(),
    }
}

pub fn raft_entry(entry: store::Entry) -> pb::Entry {
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

pub fn snapshot(snapshot: &pb::Snapshot) -> store::Snapshot {
    let meta = snapshot.get_metadata();
    store::Snapshot {
        index: meta.index,
        term: meta.term,
        voters: meta.get_conf_state().voters.clone(),
        data: snapshot.data.to_vec(),
    }
}

pub fn raft_snapshot(snapshot: store::Snapshot) -> pb::Snapshot {
    let mut out = pb::Snapshot::default();
    let meta = out.mut_metadata();
    (meta.index, meta.term) = (snapshot.index, snapshot.term);
    meta.mut_conf_state().voters = snapshot.voters;
    out.data = snapshot.data.into();
    out
}

impl Message {
    pub fn from_raft(message: &pb::Message) -> Message {
        let whole = message.get_snapshot();
        Message {
            kind: message.get_msg_type() as i32,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(entry).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: (whole.get_metadata().index > 0).then(|| snapshot(whole)),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }

    /// `None` for a kind that no replica sends to another.
    pub fn into_raft(self) -> Option<pb::Message> {
        use pb::MessageType as T;
        const KINDS: [T; 13] = [
            T::MsgAppend,
            T::MsgAppendResponse,
            T::MsgRequestVote,
            T::MsgRequestVoteResponse,
            T::MsgSnapshot,
            T::MsgHeartbeat,
            T::MsgHeartbeatResponse,
            T::MsgTransferLeader,
            T::MsgTimeoutNow,
            T::MsgReadIndex,
            T::MsgReadIndexResp,
            T::MsgRequestPreVote,
            T::MsgRequestPreVoteResponse,
        ];
        let kind = KINDS.into_iter().find(|&kind| kind as i32 == self.kind)?;
        let mut out = pb::Message::default();
        out.set_msg_type(kind);
        (out.to, out.from, out.term) = (self.to, self.from, self.term);
        (out.log_term, out.index) = (self.log_term, self.index);
        out.entries = self.entries.into_iter().map(raft_entry).collect::<Vec<_>>().into();
        (out.commit, out.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = self.snapshot {
            out.set_snapshot(raft_snapshot(snapshot));
        }
        (out.request_snapshot, out.reject, out.reject_hint) =
            (self.request_snapshot, self.reject, self.reject_hint);
        (out.context, out.priority) = (self.context.into(), self.priority);
        Some(out)
    }

    pub fn to(&self) -> u64 {
        self.to
    }

    pub fn from(&self) -> u64 {
        self.from
    }
}

pub fn frame(message: &Message) -> Result<Vec<u8>, Fault> {
    let body = postcard::to_stdvec(message)?;
    if body.len() > LONGEST {
        return Err(Fault::Long(body.len()));
    }
    let mut out = Vec::with_capacity(8 + body.len());
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&body).to_le_bytes());
    out.extend(body);
    Ok(out)
}

pub async fn read(input: &mut (impl AsyncRead + Unpin)) -> Result<Message, Fault> {
    let (length, sum) = (input.read_u32_le().await? as usize, input.read_u32_le().await?);
    if length > LONGEST {
        return Err(Fault::Long(length));
    }
    // Memory as the bytes come, not as the length says.
    let mut body = Vec::new();
    input.take(length as u64).read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
    }
    if crc32fast::hash(&body) != sum {
        return Err(Fault::Sum);
    }
    Ok(postcard::from_bytes(&body)?)
}

pub async fn greet(output: &mut (impl AsyncWrite + Unpin), hello: Hello) -> Result<(), Fault> {
    output.write_all(&HELLO).await?;
    output.write_u64_le(hello.cluster).await?;
    Ok(output.write_u64_le(hello.from).await?)
}

pub async fn greeted(input: &mut (impl AsyncRead + Unpin)) -> Result<Hello, Fault> {
    let mut hello = [0; HELLO.len()];
    input.read_exact(&mut hello).await?;
    if hello != HELLO {
        return Err(Fault::Hello);
    }
    Ok(Hello { cluster: input.read_u64_le().await?, from: input.read_u64_le().await? })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn message() -> Message {
        let mut raft = pb::Message::default();
        raft.set_msg_type(pb::MessageType::MsgSnapshot);
        (raft.to, raft.from, raft.term, raft.index) = (2, 1, 7, 41);
        let data = b"put".to_vec();
        let one = store::Entry { index: 42, term: 7, kind: 0, data, context: vec![1] };
        raft.entries = vec![raft_entry(one)].into();
        let voters = vec![1, 2, 3];
        raft.set_snapshot(raft_snapshot(store::Snapshot { index: 9, term: 3, voters, data: vec![5; 100] }));
        Message::from_raft(&raft)
    }

    #[tokio::test]
    async fn a_message_is_the_same_on_the_other_side() {
        let message = message();
        let text = frame(&message).unwrap();
        let read = read(&mut text.as_slice()).await.unwrap();
        assert_eq!(read, message);
        assert_eq!(Message::from_raft(&read.into_raft().unwrap()), message);
    }

    #[tokio::test]
    async fn what_is_cut_changed_or_too_long_is_no_message() {
        let text = frame(&message()).unwrap();
        for length in 0..text.len() {
            assert!(read(&mut &text[..length]).await.is_err());
        }
        for place in 4..text.len() {
            let mut changed = text.clone();
            changed[place] ^= 1;
            assert!(matches!(read(&mut changed.as_slice()).await, Err(Fault::Sum)), "{place}");
        }
        let long = [u32::MAX.to_le_bytes(), [0; 4]].concat();
        assert!(matches!(read(&mut long.as_slice()).await, Err(Fault::Long(_))));
    }
}
