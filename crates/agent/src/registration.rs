//! Registers a member with the registry.
//!
//! Guarantee: a registration does not undo a change of the member's phase that the registry has acknowledged. The agent's file
//! says in which phase a member starts that the registry does not know; from then on the registry's phase stands, also when
//! the agent comes back after a restart.

use std::time::Duration;

use client::Client;
use registry::{Command, Expect, Member, Ms, Outcome, Phase, Revision};
use serde::Deserialize;

/// How long the client tries to send each command of a registration or a renewal.
pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a member could not be registered.
#[derive(Debug, thiserror::Error)]
pub enum RegistrationError {
    /// The registry rejects the member.
    #[error("the registry refused the member: {0}")]
    Refused(String),
    /// The member was changed or removed meanwhile: try again.
    #[error("the member was changed meanwhile")]
    Changed,
    /// The registry can't be reached, or answers with something else.
    #[error(transparent)]
    Unavailable(#[from] client::Error),
    /// The list of members can't be read.
    #[error("the list of members can't be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

/// What to do with a member that is registered already.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Registration {
    /// Bring all but its phase into the agent's form.
    Update,
    /// Leave it as it is.
    IfAbsent,
}

/// A member as the registry lists it.
#[derive(Deserialize)]
struct ListedMember {
    revision: Revision,
    member: MemberPhase,
}

/// What matters of a registered member.
#[derive(Deserialize)]
struct MemberPhase {
    id: String,
    phase: Phase,
}

/// Registers a member. One that is registered already keeps its phase.
///
/// # Errors
///
/// See [`RegistrationError`]. The member may be registered after [`RegistrationError::Unavailable`].
pub async fn register(
    client: &Client,
    member: &Member,
    lease_ms: Option<Ms>,
    registration: Registration,
) -> Result<(), RegistrationError> {
    let is_put = put(client, member.clone(), lease_ms, Expect::Absent).await?;
    if is_put || registration == Registration::IfAbsent {
        return Ok(());
    }
    let Some(registered) = find_registered(client, &member.id).await? else {
        return Err(RegistrationError::Changed);
    };
    let member = Member { phase: registered.member.phase, ..member.clone() };
    match put(client, member, lease_ms, Expect::Revision(registered.revision)).await? {
        true => Ok(()),
        false => Err(RegistrationError::Changed),
    }
}

/// The member as the registry has it; `None` if it is not registered.
async fn find_registered(client: &Client, id: &str) -> Result<Option<ListedMember>, RegistrationError> {
    let id_query: String = form_urlencoded::Serializer::new(String::new()).append_pair("id", id).finish();
    let listed: Vec<ListedMember> =
        serde_json::from_value(client.get(&format!("/v1/members?{id_query}")).await?)?;
    // A replica of an earlier build lists all members.
    Ok(listed.into_iter().find(|listed| listed.member.id == id))
}

/// Puts a member. Returns `false` if the registry has it otherwise than expected.
async fn put(
    client: &Client,
    member: Member,
    lease_ms: Option<Ms>,
    expect: Expect,
) -> Result<bool, RegistrationError> {
    match client.propose("", Command::Put { member, lease_ms, expect }, COMMAND_TIMEOUT).await? {
        Outcome::Done { .. } => Ok(true),
        Outcome::Conflict { .. } => Ok(false),
        Outcome::Refused { reason } => Err(RegistrationError::Refused(reason)),
    }
}
