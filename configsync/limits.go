package configsync

import "time"

// Bounds of names and contents. A document at the operators' size (54,000 quota plans, 6,000 members, some thousands of
// request classes, about 200 bytes each) has 13 MB and is within them by a factor of four or more.
const (
	MaxResourceNameBytes  = 256      // of a resource's name
	MaxValueBytes         = 64 << 10 // of a resource's value; one value has to fit into a part of a snapshot
	MaxLogIDBytes         = 64       // of a LogID
	MaxGatewayNameBytes   = 128      // of a gateway's name
	MaxRefusalReasonBytes = 1 << 10  // of the reason of a refusal
	MaxMembers            = 1 << 16  // member indices are below it
	MaxDocumentBytes      = 64 << 20 // names and values of a document
	MaxDocumentResources  = 1 << 19
)

// Bounds of messages.
const (
	MaxFrameBytes        = 1 << 20   // a frame with its length
	MaxDeltaBytes        = 512 << 10 // names and values of a delta; a longer one is sent as a snapshot
	MaxDeltaChanges      = 8 << 10   // with the encoding's 24 bytes a change or less, such a delta fits into a frame
	MaxSnapshotPartBytes = 256 << 10 // the encoded changes of one part of a snapshot that is read

	// TargetSnapshotPartBytes is the size of a part that is sent, unless one value is longer. One part within StallTimeout is 8 KB a
	// second, so that a snapshot also completes over a slow link.
	TargetSnapshotPartBytes = 32 << 10
	MaxSnapshotPartChanges  = 8 << 10
	MaxSnapshotParts        = 8 << 10 // a document of the largest size has some 2,500
)

// Bounds of the publishers' state.
const (
	MaxCommandBytes = 16 << 20 // an encoded command: a first publication of the operators' size fits

	// DefaultHistoryDeltas is a fifth of a day at 20,000 changes a day: a gateway that was disconnected by a restart
	// or for some minutes catches up by a delta.
	DefaultHistoryDeltas = 4096
	DefaultHistoryBytes  = 16 << 20 // names, new and previous values
)

// Times. A change has to be in force at every reachable gateway within 12 s, also when one publisher fails at the
// moment of the change: SilenceTimeout (3 s), the first backoff (0.2 s at most), ConnectTimeout (1 s) and one more
// publisher that refuses (0.4 s) leave more than 7 s for an election among the publishers, the transfer and the
// application.
const (
	HeartbeatInterval = time.Second

	SilenceTimeout = 3 * time.Second // three heartbeats: one may be lost and one late
	ConnectTimeout = time.Second     // for a connection to a publisher

	// QuorumTimeout is how long a follower stays with a publisher that has no contact with a quorum. During an
	// election of a second or two no publisher has contact, and changing to another one would not help.
	QuorumTimeout = 3 * time.Second

	// StallTimeout is how long a follower stays with a publisher that announces a later version and sends no part of it.
	// With StaleTimeout, a second attempt fits into the 12 s.
	StallTimeout = 4 * time.Second

	// BackoffBase and BackoffCap bound the wait between attempts: doubling from 0.2 s spreads the 200 gateways of a zone,
	// and at 3 s a publisher that is reachable again is found within a quarter of the 12 s.
	BackoffBase = 200 * time.Millisecond
	BackoffCap  = 3 * time.Second

	// MaxDeferral bounds the wait that a publisher can ask a follower for, so that a faulty one can't keep it away.
	MaxDeferral = 4 * time.Second

	// AcknowledgeTimeout is how long a publisher waits for the answer to a version that it has sent. It only ends
	// connections whose other side is gone or stuck: followers notice a lost version by StallTimeout first.
	AcknowledgeTimeout = 30 * time.Second
)

// Default bounds of snapshots at one publisher: 200 gateways that start without their disk get 13 MB documents from
// three publishers in some 14 s, and a publisher uses half of the rate of a gigabit link at most.
const (
	DefaultSnapshotRate  = 64 << 20 // bytes a second
	DefaultSnapshotBurst = 32 << 20 // bytes
)

// DefaultVersionInterval lets a burst of hundreds of changes reach a follower as some ten versions a second in place
// of one for each change, and adds less than a hundredth of the 12 s. A single change is sent at once.
const DefaultVersionInterval = 100 * time.Millisecond

// minCompactedBytes is the least length of appended deltas, in bytes, at which a gateway's file is rewritten.
const minCompactedBytes = 1 << 20
