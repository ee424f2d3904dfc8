//! Batches of generated tokens for backup copies, and their encoding.

use capnp::Error;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::stream::{Phase, Run, Source};

use super::peer_capnp::{batch, receipt};
use super::wire::{check_length, list_length};

/// Generated tokens for the backup copies at one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Incarnation of the process that generates the responses.
    pub owner: u64,
    /// Items, one for each response.
    pub items: Vec<Item>,
}

/// A part of one response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id of the request.
    pub id: Uuid,
    /// Number of the current attempt; 0 before the first.
    pub attempt: u32,
    /// Offset of the first text.
    pub offset: u32,
    /// Texts of the chunks from `offset` on.
    pub texts: Vec<String>,
    /// Context that the copy needs; `None` when it has the current one.
    pub context: Option<Context>,
}

/// Properties of a response that seldom change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Context {
    /// All attempts that have generated chunks, and the current one.
    pub runs: Vec<Run>,
    /// The engine stream that the response is read from.
    pub source: Option<Source>,
    /// Phase after these chunks.
    pub phase: Phase,
}

/// Acknowledgement of an item by the node with the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Receipt {
    /// The copy now has this many chunks.
    Stored(u32),
    /// The node has no copy, or chunks or context before this item are missing.
    Unknown,
    /// The node owns the response itself.
    Served,
}

/// Encodes a batch.
///
/// The texts of all items are concatenated, because a separate object for each token takes at least
/// 16 bytes.
pub(super) fn encode(from: &Batch, mut to: batch::Builder<'_>) -> capnp::Result<()> {
    to.set_owner(from.owner);
    let mut items = to.reborrow().init_items(list_length(from.items.len()));
    for (index, item) in (0..).zip(&from.items) {
        let mut to = items.reborrow().get(index);
        let (high, low) = item.id.as_u64_pair();
        to.set_id_high(high);
        to.set_id_low(low);
        to.set_attempt(item.attempt);
        to.set_offset(item.offset);
        to.set_count(list_length(item.texts.len()));
    }
    let texts = || from.items.iter().flat_map(|item| &item.texts);
    let mut lengths = to.reborrow().init_lengths(list_length(texts().count()));
    for (index, text) in (0..).zip(texts()) {
        lengths.set(index, list_length(text.len()));
    }
    to.set_text(texts().map(String::as_str).collect::<String>());
    let indices = (0..).zip(&from.items);
    let contexts: Vec<_> = indices
        .filter_map(|(index, item)| item.context.as_ref().map(|context| (index, context)))
        .collect();
    if contexts.is_empty() {
        return Ok(());
    }
    let mut list = to.init_contexts(list_length(contexts.len()));
    for (at, (item, context)) in (0..).zip(contexts) {
        let mut to = list.reborrow().get(at);
        to.set_item(item);
        let payload = serde_json::to_vec(context);
        to.set_payload(&payload.map_err(|error| Error::failed(error.to_string()))?);
    }
    Ok(())
}

/// Decodes a batch.
///
/// # Errors
///
/// Fails when the lists are inconsistent or too long.
pub(super) fn decode(from: batch::Reader<'_>) -> capnp::Result<Batch> {
    let malformed = || Error::failed("malformed batch: its lists are inconsistent".to_owned());
    let mut rest = from.get_text()?.to_str()?;
    let mut lengths = from.get_lengths()?.iter();
    let mut items = Vec::new();
    for item in check_length(from.get_items()?.iter())? {
        let mut texts = Vec::new();
        for _ in 0..item.get_count() {
            let length = lengths.next().ok_or_else(malformed)?;
            let (text, after) = rest
                .split_at_checked(length as usize)
                .ok_or_else(malformed)?;
            texts.push(text.to_owned());
            rest = after;
        }
        items.push(Item {
            id: Uuid::from_u64_pair(item.get_id_high(), item.get_id_low()),
            attempt: item.get_attempt(),
            offset: item.get_offset(),
            texts,
            context: None,
        });
    }
    if !rest.is_empty() || lengths.next().is_some() {
        return Err(malformed());
    }
    for context in check_length(from.get_contexts()?.iter())? {
        let index = context.get_item() as usize;
        let item = items.get_mut(index).ok_or_else(malformed)?;
        let payload = serde_json::from_slice(context.get_payload()?);
        item.context = Some(payload.map_err(|error| Error::failed(error.to_string()))?);
    }
    Ok(Batch {
        owner: from.get_owner(),
        items,
    })
}

pub(super) fn encode_receipt(from: Receipt, mut to: receipt::Builder<'_>) {
    match from {
        Receipt::Stored(length) => to.set_stored(length),
        Receipt::Unknown => to.set_unknown(()),
        Receipt::Served => to.set_served(()),
    }
}

pub(super) fn decode_receipt(from: receipt::Reader<'_>) -> capnp::Result<Receipt> {
    Ok(match from.which()? {
        receipt::Which::Stored(length) => Receipt::Stored(length),
        receipt::Which::Unknown(()) => Receipt::Unknown,
        receipt::Which::Served(()) => Receipt::Served,
    })
}
