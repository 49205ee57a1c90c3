//! Owns what is known of how crowded regions are: whether those of a kind turn calls away for want of connections. It knows no
//! sockets, and must never judge a region's health or load: those show on connections that are kept, too.

use serde::{Deserialize, Serialize};

/// What an answer on a connection takes off what is remembered of those before it.
const MEMORY: f64 = 0.9;
/// So much of the calls on new connections must be turned away, so many of them, and at most so much on kept ones.
const CROWDED: (f64, f64, f64) = (0.6, 2.0, 0.2);

/// Calls answered, fading: turned away, and all.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct Share {
    turned_away: f64,
    all: f64,
}

impl Share {
    fn learn(&mut self, turned_away: bool) {
        self.turned_away = self.turned_away * MEMORY + f64::from(turned_away);
        self.all = self.all * MEMORY + 1.0;
    }
}

/// For each kind of region, how calls fare on new connections and on kept ones.
///
/// A region holds few connections, and says nowhere how many. One that holds no more turns away what comes on a new one, and
/// serves what comes on those it has: so who has one never meets a refusal, and who has none is never served. A sender that
/// sees this at any region of a kind keeps no idle connection to those of that kind: each is another sender's call.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct ConnectionScarcity(Vec<[Share; 2]>);

impl ConnectionScarcity {
    /// A call was answered. A told wait is a limit's, and no lack of connections.
    pub fn learn(&mut self, kind: usize, kept: bool, turned_away: bool, told_wait: bool) {
        if kind >= self.0.len() {
            self.0.resize_with(kind + 1, Default::default);
        }
        if !told_wait || kept {
            self.0[kind][usize::from(kept)].learn(turned_away);
        }
    }

    /// Whether an idle connection to a region of a kind keeps others out.
    pub fn is(&self, kind: usize) -> bool {
        let Some([new, kept]) = self.0.get(kind) else {
            return false;
        };
        new.turned_away >= CROWDED.1
            && new.turned_away >= CROWDED.0 * new.all
            && kept.turned_away <= CROWDED.2 * kept.all
    }
}
