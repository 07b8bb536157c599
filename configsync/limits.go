package configsync

import "time"

// Limits for names and content. The largest document that operators expect (54,000 quota plans, 6,000 members, some
// thousands of request classes, about 200 bytes each) has 13 MB, less than a quarter of the limit.
const (
	MaxResourceNameBytes  = 256      // name of a resource
	MaxValueBytes         = 64 << 10 // value of a resource; has to fit into one part of a snapshot
	MaxLogIDBytes         = 64       // a LogID
	MaxGatewayNameBytes   = 128      // name of a gateway
	MaxRefusalReasonBytes = 1 << 10  // reason in a refusal
	MaxMembers            = 1 << 16  // member indices are below this
	MaxDocumentBytes      = 64 << 20 // names and values of all resources
	MaxDocumentResources  = 1 << 19
)

// Limits for messages.
const (
	MaxFrameBytes        = 1 << 20   // a frame, including its header
	MaxDeltaBytes        = 512 << 10 // names and values of a delta; a snapshot replaces a single longer one
	MaxDeltaChanges      = 8 << 10   // at 24 bytes of encoding per change or less, a delta fits into a frame
	MaxSnapshotPartBytes = 256 << 10 // names and values of a received part of a snapshot

	// TargetSnapshotPartBytes is the largest size of a part that is sent, unless a single value is longer. Receiving one
	// part within StallTimeout takes 8 KB/s, so that a snapshot completes over a slow link, too.
	TargetSnapshotPartBytes = 32 << 10
	MaxSnapshotPartChanges  = 8 << 10
	MaxSnapshotParts        = 8 << 10 // the largest document needs some 2,500
)

// Limits for the publishers' state.
const (
	MaxCommandBytes = 16 << 20 // an encoded command; the first publication of the largest expected document fits

	// DefaultHistoryDeltas covers a fifth of a day at 20,000 changes a day, so that a gateway that restarted or was
	// disconnected for some minutes catches up with a delta.
	DefaultHistoryDeltas = 4096
	DefaultHistoryBytes  = 16 << 20 // names, new values and previous values
)

// Intervals and timeouts. They derive from the requirement that a change is in force at every reachable gateway within
// 12 s, even if one publisher fails at the moment of the change. SilenceTimeout (3 s), the first backoff (0.2 s at
// most), ConnectTimeout (1 s) and an attempt that another publisher turns away (0.4 s) leave more than 7 s for an
// election among the publishers, the transfer and the application of the change.
const (
	// HeartbeatInterval is the time between two heartbeats of a publisher to a follower.
	HeartbeatInterval = time.Second

	// SilenceTimeout is how long a follower waits for any bytes before it closes the connection. It is three heartbeat
	// intervals, so that one heartbeat may be lost and one may be late.
	SilenceTimeout = 3 * time.Second

	// ConnectTimeout is how long a follower waits until a connection to a publisher is established.
	ConnectTimeout = time.Second

	// QuorumTimeout is how long a follower stays connected to a publisher that has no contact with a quorum. It is longer
	// than an election, which takes a second or two: no publisher has contact in that time, so that changing to another
	// one would not help.
	QuorumTimeout = 3 * time.Second

	// StallTimeout is how long a follower stays connected to a publisher that has announced a later version but sends no
	// part of it. Together with QuorumTimeout it leaves time for a second attempt within the 12 s.
	StallTimeout = 4 * time.Second

	// BackoffBase and BackoffCap are the first and the largest bound of the wait between attempts to connect. Doubling
	// from 0.2 s spreads the 200 gateways of a zone; with a cap of 3 s a publisher that is reachable again is found
	// within a quarter of the 12 s.
	BackoffBase = 200 * time.Millisecond
	BackoffCap  = 3 * time.Second

	// MaxDeferral is the longest wait that a publisher can impose on a follower that needs a snapshot, so that a faulty
	// publisher can't keep followers away.
	MaxDeferral = 4 * time.Second

	// AcknowledgeTimeout is how long a publisher waits for the answer to a version that it has sent. It serves only to
	// close connections to followers that are gone or stuck: a follower notices a lost version earlier, by StallTimeout.
	AcknowledgeTimeout = 30 * time.Second
)

// Default limits for the snapshots of one publisher. With them, 200 gateways that start with empty disks get a document
// of 13 MB from three publishers within some 14 s, and a publisher uses at most half of a gigabit link.
const (
	DefaultSnapshotRate  = 64 << 20 // bytes per second
	DefaultSnapshotBurst = 32 << 20 // bytes
)

// DefaultVersionInterval is the SenderLimits.VersionInterval that publishers use. It merges a burst of hundreds of
// changes into some ten versions per second, in place of one per change, and delays a change by less than a hundredth
// of the 12 s. A single change is sent immediately.
const DefaultVersionInterval = 100 * time.Millisecond

// minCompactionBytes is the length of appended deltas, in bytes, below which a gateway's file is never rewritten.
const minCompactionBytes = 1 << 20
