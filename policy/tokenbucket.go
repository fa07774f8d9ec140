package policy

// tokenBucket is a token bucket. Calls earn tokens and extra calls spend them, so
// that extra load stays proportional to the load.
type tokenBucket struct {
	tokens   float64
	capacity float64
}

// Capacities of the buckets in tokens.
const (
	// hedgeBurst is for a leaf; what overflows goes to the pool of its service.
	hedgeBurst    = 4
	hedgePoolSize = 50
	// retryBurst is for a service: enough to retry the calls that break at once
	// when a data centre is lost.
	retryBurst = 100
)

func newTokenBucket(capacity float64) tokenBucket {
	return tokenBucket{tokens: capacity / 2, capacity: capacity}
}

// earn adds tokens and returns those that exceed the capacity.
func (b *tokenBucket) earn(n float64) float64 {
	b.tokens += n
	overflow := max(b.tokens-b.capacity, 0)
	b.tokens -= overflow
	return overflow
}

// spend takes one token and reports whether there was one.
func (b *tokenBucket) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
