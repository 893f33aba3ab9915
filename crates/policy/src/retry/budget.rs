//! A budget that ties repeated attempts to successes.

/// What one success adds.
const DEPOSIT: f64 = 0.1;
/// What one repeated attempt takes.
const PRICE: f64 = 1.0;
/// The most that is saved up.
const BALANCE_MAX: f64 = 10.0;
/// The balance at the start.
const BALANCE_START: f64 = 3.0;

/// Tokens of one service at one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    balance: f64,
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
    pub const fn deposit(&mut self) {
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
    pub const fn balance(&self) -> f64 {
        self.balance
    }
}
