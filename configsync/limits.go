// Bounds of sizes and times, with their reasons.

package configsync

import "time"

// Bounds of names and contents. A document at the operators' size (54,000 quota plans, 6,000 members, some thousands of
// request classes, about 200 bytes each) has 13 MB and is within them by a factor of four or more.
const (
	MaxResourceBytes     = 256      // of a resource's name
	MaxValueBytes        = 64 << 10 // of a resource's value; one value has to fit into a part of a snapshot
	MaxLogBytes          = 64       // of a LogID
	MaxNameBytes         = 128      // of a gateway's name
	MaxReasonBytes       = 1 << 10  // of the reason of a refusal
	MaxMembers           = 1 << 16  // member indices are below it
	MaxDocumentBytes     = 64 << 20 // names and values of a document
	MaxDocumentResources = 1 << 19
)

// Bounds of messages.
const (
	MaxFrameBytes   = 1 << 20   // a frame with its length
	MaxDeltaBytes   = 512 << 10 // names and values of a delta on the wire; a longer one goes as a snapshot
	MaxDeltaChanges = 8 << 10   // with the encoding's 24 bytes a change or less, such a delta fits into a frame
	MaxPartBytes    = 256 << 10 // the encoded changes of one part of a snapshot that is read

	// PartBytes is how many a part that is sent has, unless one value has more: one within StallTimeout is 8 KB a second, so
	// that a snapshot comes to its end over a slow way too.
	PartBytes        = 32 << 10
	MaxPartChanges   = 8 << 10
	MaxSnapshotParts = 8 << 10 // a document of the largest size has some 2,500
)

// Bounds of the publishers' state.
const (
	MaxCommandBytes = 16 << 20 // an encoded command: a first publication of the operators' size fits

	// DefaultHistoryDeltas is a fifth of a day at 20,000 changes a day: a gateway that was away for a restart or for a
	// cut of minutes comes back by a delta.
	DefaultHistoryDeltas = 4096
	DefaultHistoryBytes  = 16 << 20 // names, new and previous values
)

// Times. A change is to be in force at every reachable gateway within 12 s, also when one publisher is lost at its
// moment: SilenceTimeout (3 s) + the first backoff (0.2 s at most) + ConnectTimeout (1 s) + one more publisher that
// refuses (0.4 s) leaves more than 7 s for an election among the publishers, the transfer and the application.
const (
	HeartbeatInterval = time.Second

	SilenceTimeout = 3 * time.Second // three heartbeats: one lost and one late are borne
	ConnectTimeout = time.Second     // for a connection to a publisher

	// StaleTimeout is how long a follower stays with a publisher that has no contact with a quorum: an election takes a
	// second or two, in which no publisher has it, and moving would help nobody.
	StaleTimeout = 3 * time.Second

	// StallTimeout is how long a follower stays with a publisher that announces a later version and sends no part of
	// it: with StaleTimeout, a second attempt is done in the 12 s.
	StallTimeout = 4 * time.Second

	// BackoffBase and BackoffCap bound the mean wait between attempts: doubling from 0.2 s spreads the 200 gateways of a
	// zone, and at 3 s a publisher that comes back is found within a quarter of the 12 s.
	BackoffBase = 200 * time.Millisecond
	BackoffCap  = 3 * time.Second

	// MaxDeferral bounds the time that a publisher can put a follower off by, so that a wrong one does no lasting harm.
	MaxDeferral = 4 * time.Second

	// AcknowledgeTimeout is how long a publisher waits for the answer to a version that has been written out. It only
	// ends connections whose other side is gone or stuck: followers notice a loss by StallTimeout first.
	AcknowledgeTimeout = 30 * time.Second
)

// Default bounds of snapshots at one publisher: 200 gateways that come without their disk share 13 MB documents from
// three publishers in some 14 s, and a publisher spends half of a gigabit link's rate at most.
const (
	DefaultSnapshotRate  = 64 << 20 // bytes a second
	DefaultSnapshotBurst = 32 << 20 // bytes
)

// DefaultVersionInterval lets a burst of hundreds of changes reach a follower by some ten versions a second, in place of one
// for each change, at less than a hundredth of the 12 s. A change that comes alone is sent at once.
const DefaultVersionInterval = 100 * time.Millisecond

// Bounds of the file that a gateway keeps: deltas are appended to the document until they are as long as it is, but a
// file of less than this isn't worth its rewriting.
const minCompactedBytes = 1 << 20
