package subscriber

import (
	"cmp"
	"fmt"
	"log"
	"time"

	"ravensill/configsync"
)

// Status is how a subscriber stands.
type Status struct {
	Version   configsync.Version // in force
	Digest    configsync.Digest  // of its content
	Latest    configsync.Version // at the publisher followed last, as it told
	Refused   configsync.Version // a later version that the gateway could not take; 0: none
	Publisher string             // the one connected to; empty: none
	BytesIn   int64              // since the start
	BytesOut  int64
	Unsaved   int // versions in force that could not be kept on disk
	Counters  configsync.FollowerCounters
}

// Status gives the state after the last event.
func (s *Subscriber) Status() Status { return *s.status.Load() }

func (s *Subscriber) updateStatus() {
	document := s.follower.Document()
	status := &Status{
		Version:   document.Version(),
		Digest:    document.Digest(),
		Latest:    s.latest,
		Publisher: s.publisher,
		BytesIn:   s.in.Load(),
		BytesOut:  s.out.Load(),
		Unsaved:   s.store.unsaved,
		Counters:  s.follower.Counters(),
	}
	if refused := s.follower.Refused(); refused != nil {
		status.Refused = refused.Version
	}
	s.status.Store(status)
}

// logLine tells the operators how the subscriber stands, once in a while. The subscriber has something to do at least each
// few seconds, connected or not.
func (s *Subscriber) logLine() {
	now := time.Now()
	if now.Sub(s.lineAt) < lineInterval {
		return
	}
	s.lineAt = now
	log.Printf("event=configuration %s", s.Status())
}

// String gives the state as the fields of a log line.
func (s Status) String() string {
	c := &s.Counters
	return fmt.Sprintf("version=%d digest=%x latest=%d refused=%d publisher=%s bytes_in=%d bytes_out=%d accepted=%d"+
		" refusals=%d lost=%d malformed=%d deferred=%d unsaved=%d", s.Version, s.Digest[:8], s.Latest, s.Refused,
		cmp.Or(s.Publisher, "none"), s.BytesIn, s.BytesOut, c.Accepted, c.Refused, c.Lost, c.Malformed, c.Deferred, s.Unsaved)
}
