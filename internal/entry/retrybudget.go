package entry

// maxRetryTokens is the capacity of the token bucket, which is the largest burst of retries. It
// limits how long past requests pay for later retries, and a full bucket lets a host without much
// traffic retry at all.
const maxRetryTokens = 10

// RetryBudget limits retries to a ratio of recent requests. It is a token bucket that requests
// fill and retries drain; it does not depend on time. It is not safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	tokens float64
}

// NewRetryBudget returns a full budget. The ratio is the number of retries allowed per request,
// 0 to 1.
func NewRetryBudget(ratio float64) RetryBudget {
	return RetryBudget{ratio: ratio, tokens: maxRetryTokens}
}

// Deposit adds the tokens of one request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+b.ratio, maxRetryTokens) }

// Withdraw takes the token of one retry. It returns false if there is none, which means that the
// retry is not allowed.
func (b *RetryBudget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
