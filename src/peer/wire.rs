//! Conversion between [`Message`] and its encoding.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::log::Offset;
use crate::membership::{Demand, Header, Load, Member, Message, Notice, State};

use super::peer_capnp::{demand, endpoint, load, member, probe};

/// Maximum number of entries in each list of a received message.
const MAX_LIST_ENTRIES: u32 = 4_096;

/// Encodes a message.
pub(super) fn encode(message: &Message, mut to: probe::Builder<'_>) {
    let header = &message.header;
    to.set_protocol(header.protocol);
    to.set_format(header.format);
    to.set_draining(header.draining);
    to.set_joining(header.joining);
    to.set_digest(header.digest);
    to.set_incarnation(header.incarnation);
    to.set_config_version(header.config.map_or(0, |version| version.0 + 1));
    to.set_control_end(header.control_end.0);
    to.set_weight(header.weight);
    // An empty list is not set, which saves its tag word.
    if !header.demand.is_empty() {
        let mut list = to.reborrow().init_demand(list_length(header.demand.len()));
        for (index, demand) in (0..).zip(&header.demand) {
            let mut to = list.reborrow().get(index);
            to.set_account(demand.account);
            to.set_rate(demand.rate);
        }
    }
    if !message.members.is_empty() {
        let mut list = to
            .reborrow()
            .init_members(list_length(message.members.len()));
        for (index, member) in (0..).zip(&message.members) {
            encode_member(member, list.reborrow().get(index));
        }
    }
    if !message.notices.is_empty() {
        let mut list = to
            .reborrow()
            .init_endpoints(list_length(message.notices.len()));
        for (index, notice) in (0..).zip(&message.notices) {
            let mut to = list.reborrow().get(index);
            to.set_incarnation(notice.incarnation);
            to.set_host(&*notice.host);
        }
    }
    if !message.loads.is_empty() {
        let mut list = to.init_loads(list_length(message.loads.len()));
        for (index, load) in (0..).zip(&message.loads) {
            let mut to = list.reborrow().get(index);
            to.set_host(load.host);
            to.set_incarnation(load.incarnation);
            to.set_seq(load.seq);
            to.set_running(load.running);
            to.set_queued(load.queued);
        }
    }
}

pub(super) fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn encode_member(member: &Member, mut to: member::Builder<'_>) {
    to.set_incarnation(member.incarnation);
    to.set_version(member.version);
    to.set_state(match member.state {
        State::Alive => 0,
        State::Suspect => 1,
        State::Leaving => 2,
        State::Gone => 3,
    });
    to.set_name(&*member.name);
    to.set_domain(&*member.domain);
    to.set_peer(member.peer.to_string());
    to.set_listen(member.listen.to_string());
}

/// Returns the encoded size of a message in bytes, without the framing of the RPC protocol.
#[must_use]
pub fn encoded_bytes(message: &Message) -> usize {
    let mut builder = capnp::message::Builder::new_default();
    encode(message, builder.init_root());
    capnp::serialize::compute_serialized_size_in_words(&builder) * 8
}

/// Decodes a message.
///
/// # Errors
///
/// Fails when the message is malformed or has too many entries.
pub(super) fn decode(from: probe::Reader<'_>) -> capnp::Result<Message> {
    let header = Header {
        protocol: from.get_protocol(),
        format: from.get_format(),
        incarnation: from.get_incarnation(),
        config: from.get_config_version().checked_sub(1).map(Offset),
        control_end: Offset(from.get_control_end()),
        weight: from.get_weight(),
        draining: from.get_draining(),
        joining: from.get_joining(),
        digest: from.get_digest(),
        demand: check_length(from.get_demand()?.iter())?
            .map(demand)
            .collect(),
    };
    Ok(Message {
        header,
        members: check_length(from.get_members()?.iter())?
            .map(member)
            .collect::<capnp::Result<_>>()?,
        notices: check_length(from.get_endpoints()?.iter())?
            .map(notice)
            .collect::<capnp::Result<_>>()?,
        loads: check_length(from.get_loads()?.iter())?.map(load).collect(),
    })
}

pub(super) fn check_length<T>(list: T) -> capnp::Result<T>
where
    T: ExactSizeIterator,
{
    if list.len() > MAX_LIST_ENTRIES as usize {
        return Err(capnp::Error::failed(format!(
            "a list has {} entries, more than {MAX_LIST_ENTRIES}",
            list.len()
        )));
    }
    Ok(list)
}

fn demand(from: demand::Reader<'_>) -> Demand {
    Demand {
        account: from.get_account(),
        rate: from.get_rate(),
    }
}

fn load(from: load::Reader<'_>) -> Load {
    Load {
        host: from.get_host(),
        incarnation: from.get_incarnation(),
        seq: from.get_seq(),
        running: from.get_running(),
        queued: from.get_queued(),
    }
}

fn notice(from: endpoint::Reader<'_>) -> capnp::Result<Notice> {
    Ok(Notice {
        host: text(from.get_host()?)?,
        incarnation: from.get_incarnation(),
    })
}

fn member(from: member::Reader<'_>) -> capnp::Result<Member> {
    Ok(Member {
        name: text(from.get_name()?)?,
        domain: text(from.get_domain()?)?,
        peer: address(from.get_peer()?)?,
        listen: address(from.get_listen()?)?,
        incarnation: from.get_incarnation(),
        version: from.get_version(),
        state: match from.get_state() {
            0 => State::Alive,
            1 => State::Suspect,
            2 => State::Leaving,
            3 => State::Gone,
            other => return Err(capnp::Error::failed(format!("unknown node state {other}"))),
        },
    })
}

fn text(from: capnp::text::Reader<'_>) -> capnp::Result<Arc<str>> {
    Ok(from.to_str()?.into())
}

fn address(from: capnp::text::Reader<'_>) -> capnp::Result<SocketAddr> {
    from.to_str()?
        .parse()
        .map_err(|error| capnp::Error::failed(format!("invalid socket address: {error}")))
}
