// Package memory bounds the memory that many connections use together.
package memory

import "sync/atomic"

// Budget is a number of bytes that many holders share. A holder may have as much as is left free (the dynamic threshold
// of shared-memory switches): one holder gets half of the budget at most, two get a third each, and some of it is
// always free for others. A nil *Budget is unlimited and counts nothing. A Budget is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget returns a budget of limit bytes, none of which is used.
func NewBudget(limit int) *Budget { return &Budget{limit: int64(limit)} }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int { return int(b.limit) }

// Used returns the number of used bytes. It exceeds the limit if bytes were added that were not admitted.
func (b *Budget) Used() int { return int(b.used.Load()) }

// Free returns the number of bytes that are left; negative if more than the limit is used.
func (b *Budget) Free() int { return int(b.limit - b.used.Load()) }

// Admits reports whether a holder of held bytes may have size bytes more.
func (b *Budget) Admits(held, size int) bool { return b == nil || held+size <= b.Free() }

// Reserve adds size bytes if a holder of held bytes may have them, and reports whether it did.
func (b *Budget) Reserve(held, size int) bool {
	if b == nil {
		return true
	}
	if used := b.used.Add(int64(size)); int64(held)+used > b.limit {
		b.used.Add(-int64(size))
		return false
	}
	return true
}

// Add adds size bytes, whether they are admitted or not. A negative size releases bytes.
func (b *Budget) Add(size int) {
	if b != nil {
		b.used.Add(int64(size))
	}
}
