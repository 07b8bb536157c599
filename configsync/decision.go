package configsync

// DecisionKind is the kind of a Decision.
type DecisionKind int

// Kinds of decisions.
const (
	NoAction  DecisionKind = iota // do nothing but send Reply where it is set
	Apply                         // apply Update at the gateway, then call Accept or Refuse
	Reconnect                     // close the connection, then wait until NextAttempt
)

// Cause is the reason of a Reconnect. Its text is a field of a log line.
type Cause string

// The reasons of a Reconnect; FollowerCounters has a count for each.
const (
	CauseLogMismatch      Cause = "the publisher has another log"
	CauseVersionGap       Cause = "a delta from a version that is not held"
	CauseDigestMismatch   Cause = "a version's content differs from its digest"
	CauseMalformed        Cause = "a malformed message"
	CauseSilent           Cause = "nothing heard from the publisher"
	CauseNoQuorum         Cause = "the publisher has no contact with a quorum"
	CauseStalled          Cause = "an announced version doesn't come"
	CausePublisherBehind  Cause = "the publisher is behind"
	CauseSnapshotDeferred Cause = "the publisher put a snapshot off"
	CauseConnectionLost   Cause = "the connection failed"
)

// Decision is what the caller has to do after an event.
type Decision struct {
	Kind   DecisionKind
	Cause  Cause   // of Reconnect
	Err    error   // of Reconnect: details beyond Cause; nil: none
	Reply  Message // to be sent; nil: none
	Update *Update // of Apply
}

// Update is a later version to put in force.
type Update struct {
	Log     LogID
	From    Version // the version in force; 0: that of the gateway's own configuration file
	To      Version
	Changes []Change // sorted, from the content in force
	Delta   *Delta   // to be appended to the gateway's file; nil: the file has to be rewritten
}
