// Package requestids decides whether a request may be sent that has the id of an earlier one. Every request has an id
// of its own, so that a second one with the same id is a repeat. A request that is not safe to repeat must not run
// twice, and the gateway can't tell what a repeat is meant to do.
package requestids

import (
	"hash/maphash"
	"time"

	"ravensill/gateway"
)

const (
	// retention is the time for which an id is remembered at least, unless too many others have followed. It is longer
	// than clients wait for an answer and hosts drop repeats.
	retention = 30 * time.Second
	// StallAllowance is subtracted from the deduplication window: a stall of the process up to this long between reading
	// the clock and writing does not take a repeat past the window.
	StallAllowance = 150 * time.Millisecond
	// entryBytes is the memory of one id, with the free space of its table.
	entryBytes = 48
)

// History remembers the ids of requests that may have run and are not safe to repeat. It keeps two generations of ids
// and drops the older one once the younger is old or large. It does no I/O and is not safe for concurrent use.
type History struct {
	seed      maphash.Seed
	maxIDs    int        // of one generation
	younger   generation // the latest ids
	older     generation
	startedAt gateway.Time // when the younger generation began
}

// generation holds, by the hash of each id, the time until which a repeat may be sent; 0: never.
type generation map[uint64]gateway.Time

// NewHistory returns an empty history that uses memory bytes at most.
func NewHistory(memory int) *History {
	return &History{seed: maphash.MakeSeed(), maxIDs: memory / entryBytes / 2, younger: generation{}}
}

// MayHaveRun records that a request may have run, by an attempt that was started at the given time. It has no effect
// for a request that is safe to repeat.
func (h *History) MayHaveRun(id string, class *gateway.RequestClass, startedAt gateway.Time) {
	if class.Effect == gateway.Idempotent {
		return
	}
	if startedAt.Sub(h.startedAt) > retention || len(h.younger) >= h.maxIDs {
		h.older = h.younger
		h.younger = generation{}
		h.startedAt = startedAt
	}
	repeatUntil := gateway.Time(0)
	if class.Effect == gateway.Deduplicated && class.Group == gateway.AllHosts {
		repeatUntil = RepeatDeadline(class, startedAt)
	}
	h.younger[maphash.String(h.seed, id)] = repeatUntil
}

// RepeatDeadline returns the time by which a repeat of a request with an idempotency key must be written, so that hosts
// drop it. startedAt is the start of the first attempt that may have run.
func RepeatDeadline(class *gateway.RequestClass, startedAt gateway.Time) gateway.Time {
	return startedAt.Add(class.DedupWindow - StallAllowance)
}

// IsUsed reports whether a request with the id may have run, and may run a second time if it is sent again now. Within
// the deduplication window all hosts drop the repeat of a request with an idempotency key.
func (h *History) IsUsed(id string, now gateway.Time) bool {
	hash := maphash.String(h.seed, id)
	repeatUntil, known := h.younger[hash]
	if !known {
		repeatUntil, known = h.older[hash]
	}
	return known && now > repeatUntil
}
