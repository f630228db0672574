//! How messages end undelivered: the platform is told once that is durable, or once no later life could send them any more.

use super::Driver;
use crate::net::discovery::Notice;
use crate::net::journal::Ending;
use message_sender::decide::MARGIN;
use message_sender::{Event, MessageId, Micros};
use tokio::time::Instant;

/// The end of a message that the platform is not told yet: a next life would not know of it, and would send the message.
pub(super) struct Untold {
    notice: Notice,
    /// From then on no life sends it.
    spent_at: Micros,
}

impl Driver {
    /// The module has ended the message undelivered.
    pub(super) fn give_up(&mut self, message: MessageId, ending: Ending) {
        let Some(held) = self.messages.get(&message).filter(|held| held.open) else {
            // its client's own answer told it: no notice is owed
            return self.events.push(Event::Noticed(message));
        };
        let id = held
            .item
            .id
            .to_str()
            .map(str::to_string)
            .unwrap_or_default();
        let deadline = self
            .journal
            .owed()
            .get(&message.0)
            .map_or(Micros::MIN, |owed| owed.taken.deadline);
        crate::net::trace(&held.item.id, format_args!("ended undelivered: {ending:?}"));
        let written = self.journal.ending(message.0, ending);
        self.check(written);
        self.lifecycle.close(message);
        self.close(message);
        let notice = Notice {
            number: message.0,
            id,
            ending,
        };
        self.untold.push(Untold {
            notice,
            spent_at: deadline.saturating_sub(MARGIN),
        });
    }

    /// Tells the platform of the ends that no later life can undo.
    pub(super) fn tell_durable_ends(&mut self) {
        if self.untold.is_empty() {
            return;
        }
        let now = self.clock.at(Instant::now());
        let durable = !self.journal.has_pending();
        let (tell, keep) = std::mem::take(&mut self.untold)
            .into_iter()
            .partition(|end| durable || end.spent_at <= now);
        self.untold = keep;
        for Untold { notice, .. } in tell {
            self.notify(notice);
        }
    }

    /// When the next end can be told though it is not durable.
    pub(super) fn next_untold(&self) -> Option<Micros> {
        self.untold.iter().map(|end| end.spent_at).min()
    }

    pub(super) fn notify(&self, notice: Notice) {
        // the poster lives as long as the process
        let _ = self.notices.send(notice);
    }
}
