package bytelimit

import "sync/atomic"

// guaranteedBytes is what each holder may keep however much the others keep.
const guaranteedBytes = 64 << 10

// Budget is a limit on the bytes that all its holders keep together. Its methods may be
// called by any thread. A nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget makes a budget of a number of bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit}
}

// Take adds bytes to what a holder keeps already. Beyond the limit only holders that
// keep little get more; the others get a *ExceededError, and nothing is added.
func (b *Budget) Take(bytes, kept int) error {
	if b == nil {
		return nil
	}
	if b.used.Add(int64(bytes)) > b.limit && kept+bytes > guaranteedBytes {
		b.used.Add(-int64(bytes))
		return &ExceededError{Limit: b.limit}
	}
	return nil
}

// Release returns bytes that a holder keeps no more.
func (b *Budget) Release(bytes int) {
	if b != nil {
		b.used.Add(-int64(bytes))
	}
}

// Used returns the bytes that are kept.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}
