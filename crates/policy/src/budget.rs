//! Token buckets that bound extra load as a fraction of the regular load.

/// Token bucket that regular sub-requests fill and extra ones drain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    fraction: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full bucket that gains `fraction` of a token for each regular sub-request and
    /// holds at most `burst` tokens.
    pub fn new(fraction: f64, burst: f64) -> Self {
        Self { fraction, burst, tokens: if fraction > 0.0 { burst } else { 0.0 } }
    }

    /// Reduces the tokens to at most `tokens`.
    pub fn with_tokens(mut self, tokens: f64) -> Self {
        self.tokens = self.tokens.min(tokens);
        self
    }

    /// Changes the fraction. The tokens are kept, unless the fraction is 0.
    pub fn set_fraction(&mut self, fraction: f64) {
        if fraction <= 0.0 {
            self.tokens = 0.0;
        }
        self.fraction = fraction;
    }

    /// Adds the tokens for `count` regular sub-requests.
    pub fn deposit(&mut self, count: usize) {
        self.tokens = (self.tokens + self.fraction * count as f64).min(self.burst);
    }

    /// Returns whether a token can be spent.
    pub fn allows(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes a token if there is one and returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.allows();
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Takes a token even if there is none, down to a debt of one burst.
    pub fn charge(&mut self) {
        self.tokens = (self.tokens - 1.0).max(-self.burst);
    }

    /// Returns the number of tokens, negative if in debt.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
