use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slotmap::SlotMap;

use crate::clock::Clock;

use super::{Client, Connection, Need, State, choose};

slotmap::new_key_type! {
    /// Identifies an open connection.
    struct Slot;
}

/// The open connections of callers at some addresses of the process, up to a limit.
pub(in crate::gateway) struct Connections {
    limit: usize,
    clock: Clock,
    open: Mutex<SlotMap<Slot, Arc<Connection>>>,
}

/// An open connection, until it is dropped.
pub(in crate::gateway) struct Entry {
    connections: Arc<Connections>,
    slot: Slot,
    connection: Arc<Connection>,
}

impl Connections {
    pub(super) fn new(limit: usize, clock: Clock) -> Self {
        Self {
            limit,
            clock,
            open: Mutex::default(),
        }
    }

    /// Adds a connection; `None` if there are too many.
    pub(super) fn open(self: &Arc<Self>, address: IpAddr) -> Option<Entry> {
        let connection = Arc::new(Connection::new(address, self.clock.clone()));
        let open = &mut *self.lock();
        if open.len() >= self.limit {
            return None;
        }
        let slot = open.insert(Arc::clone(&connection));
        Some(Entry {
            connections: Arc::clone(self),
            slot,
            connection,
        })
    }

    pub(in crate::gateway) fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Closes the connection that yields, if one may; returns it.
    pub(super) fn close_one(&self, need: Need) -> Option<(IpAddr, State)> {
        let open = &mut *self.lock();
        let clients: Vec<Client<Slot>> = open
            .iter()
            .map(|(slot, connection)| connection.client(slot))
            .collect();
        let slot = choose(&clients, need, self.clock.now())?;
        let connection = open.remove(slot)?;
        connection.yielded().cancel();
        Some((connection.address(), connection.client(slot).state))
    }

    fn lock(&self) -> MutexGuard<'_, SlotMap<Slot, Arc<Connection>>> {
        // Each change leaves the map consistent.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    pub(in crate::gateway) fn connection(&self) -> &Arc<Connection> {
        &self.connection
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.connections.lock().remove(self.slot);
    }
}
