// Package configsync implements the protocol that distributes one configuration to a fleet of gateways. Publishers
// replicate the configuration among themselves as a log of numbered versions; each gateway follows one publisher at a
// time. The package decides what a publisher sends to each follower (a delta or a snapshot), and when a follower
// accepts a version, refuses it or reconnects. It does no I/O and reads no clock: internal/publisher and
// internal/subscriber own the sockets, the files and the timers, and pass in the time.
//
// The design combines acknowledged deltas (incremental xDS, envoyproxy.io) with a replicated log (Raft, Ongaro and
// Ousterhout 2014). Followers start from the last good copy on their own disk, so that they need no publisher to start
// (static stability). docs/configuration-sync.md compares the options.
package configsync

import "encoding/hex"

// LogID identifies one replicated log of versions. The publishers choose it at random when they create the log.
// Versions of different logs can't be compared, so a gateway that has a version of one log accepts no message of
// another.
type LogID string

// Version is the number of a state of the configuration within a log. The first published version is 1. 0 is the state
// before the first publication, in which a gateway uses its own configuration file.
type Version uint64

// Digest is a checksum over the content of a Document. Documents with equal content have equal digests, whatever
// sequence of changes led to them.
type Digest [32]byte

// shortDigestBytes is the number of digest bytes that Short returns.
const shortDigestBytes = 8

// Hex returns the complete digest as hexadecimal digits.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Short returns the first 16 hexadecimal digits of the digest, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// Resource is the name of one part of the configuration, in one of the forms that the constants below define.
type Resource string

// Forms of resource names: a prefix that a name follows, or a complete name. The values are JSON.
const (
	PlanPrefix     = "plans/"   // then the name of a quota plan; value: an object as in settings.plans
	ClassPrefix    = "classes/" // then the name of a request class; value: an object as in settings.profiles
	MemberPrefix   = "members/" // then a gateway's member index; value: a string, its gossip address
	LimitsResource = "limits"   // value: an object as in settings.limits, with the keys that may change at run time
)

// Change sets the value of a resource or removes the resource.
type Change struct {
	Resource Resource `cbor:"1,keyasint"`
	Value    []byte   `cbor:"2,keyasint,omitempty"` // new value as JSON; empty: the resource is removed
}

// IsRemoval reports whether the change removes its resource instead of setting it.
func (c *Change) IsRemoval() bool { return len(c.Value) == 0 }

// Delta holds the changes from one version of a log to a later one, sorted by resource and at most one per resource.
type Delta struct {
	Log     LogID    `cbor:"1,keyasint"`
	From    Version  `cbor:"2,keyasint"`
	To      Version  `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
	Digest  Digest   `cbor:"5,keyasint"` // of the complete document at version To
}
