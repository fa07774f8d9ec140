package policy

// budget holds tokens that calls earn and extra calls spend, so that extra
// load stays a share of the load.
type budget struct {
	tokens float64
	most   float64
}

// Most tokens of the budgets.
const (
	// hedgeBurst is a leaf's; what it cannot hold goes to its service's pool.
	hedgeBurst = 4
	hedgePool  = 50
	// retryBurst is a service's: enough for the calls that break at once when
	// a data centre is lost.
	retryBurst = 100
)

func newBudget(most float64) budget { return budget{tokens: most / 2, most: most} }

// earn adds tokens and returns what there was no room for.
func (b *budget) earn(n float64) float64 {
	b.tokens += n
	spill := max(b.tokens-b.most, 0)
	b.tokens -= spill
	return spill
}

// spend takes one token and reports whether there was one.
func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
