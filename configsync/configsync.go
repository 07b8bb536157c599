// Package configsync has the rules by which one configuration reaches a fleet of gateways: numbered versions, the
// deltas between them, what a publisher sends to which follower, and when a gateway accepts a version, refuses it or
// reconnects. It does no I/O and reads no clock: internal/publisher and internal/subscriber own the sockets, the
// disks and the time.
//
// The design is that of delta distribution with acknowledgement (xDS incremental, envoyproxy.io) over a replicated log
// (Raft, Ongaro and Ousterhout 2014), with followers that start from their own last good copy (static stability).
// docs/configuration-sync.md compares the options.
package configsync

import "encoding/hex"

// LogID names one replicated log of versions. It is drawn at random once, when the publishers' log is created.
// Versions of different logs can't be compared, so a gateway with a version of one log accepts no message of another.
type LogID string

// Version numbers the states of the configuration in a log, from 1 on. 0 is the state before the first publication, in
// which a gateway uses its own configuration file.
type Version uint64

// Digest identifies the content of a Document: equal documents have equal digests, whatever order their changes came
// in.
type Digest [32]byte

// shortDigestBytes is the number of bytes of a short digest.
const shortDigestBytes = 8

// Hex returns the digest in hexadecimal digits.
func (d Digest) Hex() string { return hex.EncodeToString(d[:]) }

// Short returns the first digits of the digest, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// Resource names one part of the configuration. The kinds are listed at the constants below.
type Resource string

// Kinds of resources. A kind that ends in a slash is followed by a name.
const (
	PlanPrefix     = "plans/"   // a quota plan by its name: the object as in settings.plans
	ClassPrefix    = "classes/" // a request class by its name: the object as in settings.profiles
	MemberPrefix   = "members/" // a gateway by its member index: a string, the address that it gossips at
	LimitsResource = "limits"   // the object as in settings.limits, the keys that may change in a running gateway
)

// Change sets a resource or removes it.
type Change struct {
	Resource Resource `cbor:"1,keyasint"`
	Value    []byte   `cbor:"2,keyasint,omitempty"` // JSON; empty: the resource is removed
}

// IsRemoval reports whether the change removes its resource.
func (c *Change) IsRemoval() bool { return len(c.Value) == 0 }

// Delta leads from one version of a log to a later one. Its changes are sorted by resource, each named once.
type Delta struct {
	Log     LogID    `cbor:"1,keyasint"`
	From    Version  `cbor:"2,keyasint"`
	To      Version  `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
	Digest  Digest   `cbor:"5,keyasint"` // of the document at To
}
