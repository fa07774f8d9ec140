package policy

import "time"

const (
	// retryBudgetBuckets is the number of buckets that the window of the retry
	// budget is divided into.
	retryBudgetBuckets = 20
	// retryBudgetShare is the part of the retry budget that is spent at most.
	retryBudgetShare = 0.9
	// initialSpentShare is the part of a new host's slack that counts as spent
	// already: the process that ran on the host before may have spent it.
	initialSpentShare = 0.3
)

// retryBudget counts a service's calls over the sliding window of the retry
// budget: the first call of each request, and the extra ones (retries and
// hedges).
type retryBudget struct {
	firstCalls, extraCalls [retryBudgetBuckets + 1]float64
	bucket                 int64
	// Sums over all buckets.
	totalFirst, totalExtra float64
}

// advance clears the buckets that have left the window.
func (b *retryBudget) advance(now time.Time, window time.Duration) {
	bucket := now.UnixNano() / max(int64(window/retryBudgetBuckets), 1)
	if b.bucket == 0 || bucket-b.bucket > retryBudgetBuckets {
		b.firstCalls, b.extraCalls = [retryBudgetBuckets + 1]float64{}, [retryBudgetBuckets + 1]float64{}
		b.totalFirst, b.totalExtra, b.bucket = 0, 0, bucket
	}
	for b.bucket < bucket {
		b.bucket++
		i := b.bucket % (retryBudgetBuckets + 1)
		b.totalFirst -= b.firstCalls[i]
		b.totalExtra -= b.extraCalls[i]
		b.firstCalls[i], b.extraCalls[i] = 0, 0
	}
}

// remaining returns how many extra calls the budget allows now. The oldest
// bucket may lie partly outside the window: its extra calls count as spent, but
// its first calls earn nothing.
func (b *retryBudget) remaining(now time.Time, window time.Duration, ratio, slack float64) float64 {
	b.advance(now, window)
	oldest := (b.bucket + 1) % (retryBudgetBuckets + 1)
	return retryBudgetShare*(ratio*(b.totalFirst-b.firstCalls[oldest])+slack) - b.totalExtra
}

func (b *retryBudget) addFirst(now time.Time, window time.Duration) {
	b.advance(now, window)
	b.firstCalls[b.bucket%(retryBudgetBuckets+1)]++
	b.totalFirst++
}

func (b *retryBudget) addExtra(now time.Time, window time.Duration, n float64) {
	b.advance(now, window)
	b.extraCalls[b.bucket%(retryBudgetBuckets+1)] += n
	b.totalExtra += n
}
