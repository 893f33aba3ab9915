//! A budget that ties repeated attempts to successes.

/// What one success adds.
const DEPOSIT: u32 = 1;
/// What one repeated attempt takes.
const PRICE: u32 = 10;
/// The most that is saved up.
const BALANCE_MAX: u32 = 100;
/// The balance at the start.
const BALANCE_START: u32 = 30;

/// Tokens of one service at one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: BALANCE_START,
        }
    }
}

impl RetryBudget {
    /// Adds what a success is worth.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT).min(BALANCE_MAX);
    }

    /// Pays for one attempt when the balance allows it.
    pub fn pay(&mut self) -> bool {
        let covered = self.balance >= PRICE;
        if covered {
            self.balance -= PRICE;
        }
        covered
    }

    /// What is left.
    pub const fn balance(&self) -> u32 {
        self.balance
    }
}
