package configsync

// DecisionKind says which action a Decision asks the caller to take.
type DecisionKind int

// The actions of a Decision.
const (
	NoAction  DecisionKind = iota // nothing to do but to send Reply if it is not nil
	Apply                         // try to apply Update to the gateway, then call Accept or Refuse with the outcome
	Reconnect                     // close the connection, wait until NextAttempt, then connect to Publisher
)

// Cause is the reason for a Reconnect. Its text is logged as a field.
type Cause string

// The causes of a Reconnect. FollowerCounters counts each of them.
const (
	CauseLogMismatch      Cause = "the publisher has another log"
	CauseVersionGap       Cause = "a delta starts from a version that is not in force"
	CauseDigestMismatch   Cause = "the content of a version doesn't match its digest"
	CauseMalformed        Cause = "a malformed message"
	CauseSilent           Cause = "nothing heard from the publisher"
	CauseNoQuorum         Cause = "the publisher has no contact with a quorum"
	CauseStalled          Cause = "an announced version was not received in time"
	CausePublisherBehind  Cause = "the publisher has only older versions"
	CauseSnapshotDeferred Cause = "the publisher deferred the snapshot"
	CauseConnectionLost   Cause = "the connection failed"
)

// Decision is what the owner of a Follower has to do after an event. The zero value asks for nothing.
type Decision struct {
	Kind   DecisionKind
	Cause  Cause   // set for Reconnect
	Err    error   // may be set for Reconnect: details of Cause
	Reply  Message // to be sent to the publisher; nil: nothing to send
	Update *Update // set for Apply
}

// Update describes a version that the gateway is to put in force.
type Update struct {
	Log     LogID
	From    Version // the version in force before; 0: the gateway's own configuration file
	To      Version
	Changes []Change // sorted changes from the content in force to that of To
	Delta   *Delta   // to be appended to the gateway's file; nil: the file must be rewritten
}
