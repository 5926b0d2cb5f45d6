use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::writer::Writer;
use crate::turns::Ledger;

/// Where a shard stands in this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Its records are being read.
    Loading,
    /// Its turns are served.
    Serving,
    /// Its turns under way end here, new ones go to the next owner.
    Leaving,
    /// Another process owns it: nothing can be recorded any more.
    Lost,
}

/// A shard that was dealt to this process, under one epoch.
pub(super) struct OwnedShard {
    pub(super) number: u32,
    pub(super) epoch: u64,
    pub(super) ledger: RefCell<Ledger>,
    pub(super) writer: Writer,
    stage: Cell<Stage>,
    turns: Cell<u32>,
}

impl OwnedShard {
    pub(super) fn open(number: u32, epoch: u64) -> Rc<OwnedShard> {
        Rc::new(OwnedShard {
            number,
            epoch,
            ledger: RefCell::default(),
            writer: Writer::default(),
            stage: Cell::new(Stage::Loading),
            turns: Cell::new(0),
        })
    }

    /// Where it stands.
    pub(super) fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Moves on. A lost shard stays lost.
    pub(super) fn enter(&self, stage: Stage) {
        if self.stage.get() != Stage::Lost {
            self.stage.set(stage);
        }
    }

    /// Turns under way.
    pub(super) fn turns(&self) -> u32 {
        self.turns.get()
    }

    /// Counts a turn as under way until the guard is dropped.
    pub(super) fn begin_turn(self: &Rc<Self>) -> UnderWay {
        self.turns.set(self.turns.get() + 1);
        UnderWay(self.clone())
    }
}

/// A turn under way.
pub(super) struct UnderWay(Rc<OwnedShard>);

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.0.turns.set(self.0.turns.get() - 1);
    }
}
