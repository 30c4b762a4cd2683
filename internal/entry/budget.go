package entry

// maxRetryTokens is how many retries may follow one another at once; it bounds how
// far back "recent" reaches, and lets a quiet host retry at all.
const maxRetryTokens = 10

// RetryBudget allows retries as a share of recent requests. It is a token bucket
// that requests fill and retries empty; time plays no part. It is not safe for use
// by several goroutines.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a full budget of that share, 0 to 1.
func NewRetryBudget(share float64) RetryBudget {
	return RetryBudget{ratio: share, tokens: maxRetryTokens}
}

// Deposit counts a request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.ratio, maxRetryTokens) }

// Withdraw reports whether a retry is allowed, and counts it if so.
func (b *RetryBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
