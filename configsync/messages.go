package configsync

import (
	"strings"
	"time"
	"unicode/utf8"
)

// Protocol is the version of the protocol. A publisher closes connections of followers that use another version.
const Protocol = 1

// Message is a *Hello, *Acknowledge or *Refusal, which followers send, or a *Delta, *SnapshotPart, *Heartbeat,
// *SnapshotDeferral, *PublisherBehind or *LogMismatch, which publishers send.
type Message interface {
	kind() messageKind
	check() error // returns an error if a received message violates the protocol
}

// Hello is the first message of a follower on a connection. It reports its identity and its version in force.
type Hello struct {
	Protocol     uint32  `cbor:"1,keyasint"`
	Member       int     `cbor:"2,keyasint"` // member index
	Name         string  `cbor:"3,keyasint"`
	Incarnation  uint64  `cbor:"4,keyasint"`           // greater at each start of the gateway than before
	Log          LogID   `cbor:"5,keyasint,omitempty"` // of the version in force; empty: none yet
	InForce      Version `cbor:"6,keyasint"`
	Digest       Digest  `cbor:"7,keyasint"`
	Refused      Version `cbor:"8,keyasint,omitempty"` // latest refused version; 0: none
	WantSnapshot bool    `cbor:"9,keyasint,omitempty"` // the follower accepts no delta, since one led to a wrong digest
}

// SnapshotPart is one part of a snapshot of a document. Its changes are sorted by resource, across all parts too,
// and remove nothing.
type SnapshotPart struct {
	Log       LogID    `cbor:"1,keyasint"`
	Version   Version  `cbor:"2,keyasint"`
	Digest    Digest   `cbor:"3,keyasint"` // of the complete document
	Index     int      `cbor:"4,keyasint"` // of this part, from 0 on
	PartCount int      `cbor:"5,keyasint"` // number of parts of the snapshot
	Changes   []Change `cbor:"6,keyasint"`
}

// Heartbeat reports that the publisher is alive, what its latest version is, and whether it has contact with a quorum.
type Heartbeat struct {
	Log       LogID   `cbor:"1,keyasint,omitempty"` // empty: no log has been created yet
	Latest    Version `cbor:"2,keyasint"`
	HasQuorum bool    `cbor:"3,keyasint,omitempty"` // the publisher has contact with a quorum of publishers
}

// SnapshotDeferral asks a follower that needs a snapshot to reconnect later. The publisher then closes the connection.
type SnapshotDeferral struct {
	After time.Duration `cbor:"1,keyasint"` // encoded in nanoseconds
}

// PublisherBehind reports that the follower's version in force is later than the latest version of the publisher, which
// then closes the connection.
type PublisherBehind struct {
	Latest Version `cbor:"1,keyasint"`
}

// LogMismatch reports that the publisher's log is not the follower's log. The publisher then closes the connection.
type LogMismatch struct {
	Log LogID `cbor:"1,keyasint,omitempty"`
}

// Acknowledge reports that a version is in force at the follower, and the digest of its content.
type Acknowledge struct {
	Version Version `cbor:"1,keyasint"`
	Digest  Digest  `cbor:"2,keyasint"`
}

// Refusal reports that a follower couldn't apply a version and keeps the version in force.
type Refusal struct {
	Version  Version  `cbor:"1,keyasint"`
	Resource Resource `cbor:"2,keyasint,omitempty"` // the one at fault; empty: unknown
	Reason   string   `cbor:"3,keyasint,omitempty"`
}

// NewRefusal returns a refusal whose reason is cut to MaxRefusalReasonBytes. A resource with an invalid name is left
// out, so that the refusal can always be sent.
func NewRefusal(version Version, resource Resource, reason string) *Refusal {
	if checkResource(resource) != nil {
		resource = ""
	}
	return &Refusal{Version: version, Resource: resource, Reason: truncateUTF8(reason, MaxRefusalReasonBytes)}
}

// truncateUTF8 replaces invalid UTF-8 in a text by question marks and cuts the text to at most limit bytes, without
// splitting a character.
func truncateUTF8(text string, limit int) string {
	text = strings.ToValidUTF8(text, "?")
	if len(text) <= limit {
		return text
	}
	end := limit
	for !utf8.RuneStart(text[end]) {
		end--
	}
	return text[:end]
}

// messageKind is the kind of a message, the byte after the frame header. Its values are part of the protocol.
type messageKind byte

const (
	kindHello messageKind = iota + 1
	kindDelta
	kindSnapshotPart
	kindHeartbeat
	kindSnapshotDeferral
	kindPublisherBehind
	kindLogMismatch
	kindAcknowledge
	kindRefusal
)

func (*Hello) kind() messageKind            { return kindHello }
func (*Delta) kind() messageKind            { return kindDelta }
func (*SnapshotPart) kind() messageKind     { return kindSnapshotPart }
func (*Heartbeat) kind() messageKind        { return kindHeartbeat }
func (*SnapshotDeferral) kind() messageKind { return kindSnapshotDeferral }
func (*PublisherBehind) kind() messageKind  { return kindPublisherBehind }
func (*LogMismatch) kind() messageKind      { return kindLogMismatch }
func (*Acknowledge) kind() messageKind      { return kindAcknowledge }
func (*Refusal) kind() messageKind          { return kindRefusal }

// newMessage returns an empty message to decode into, or nil for an unknown kind.
func newMessage(k messageKind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindDelta:
		return &Delta{}
	case kindSnapshotPart:
		return &SnapshotPart{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindSnapshotDeferral:
		return &SnapshotDeferral{}
	case kindPublisherBehind:
		return &PublisherBehind{}
	case kindLogMismatch:
		return &LogMismatch{}
	case kindAcknowledge:
		return &Acknowledge{}
	case kindRefusal:
		return &Refusal{}
	}
	return nil
}

func (m *Hello) check() error {
	if m.Member < 0 || m.Member >= MaxMembers {
		return &MalformedError{Reason: "hello with an invalid member index"}
	}
	if len(m.Name) > MaxGatewayNameBytes {
		return &MalformedError{Reason: "hello with a gateway name that is too long"}
	}
	if m.Log == "" && (m.InForce != 0 || m.Refused != 0) {
		return &MalformedError{Reason: "hello with a version but no log"}
	}
	return checkOptionalLogID(m.Log)
}

func (m *Delta) check() error {
	if err := checkLogID(m.Log); err != nil {
		return err
	}
	if m.To <= m.From {
		return &VersionNotIncreasingError{From: m.From, To: m.To}
	}
	if !fitsDeltaLimits(m.Changes) {
		return &MalformedError{Reason: "delta exceeds the size limit for a message"}
	}
	return checkChanges(m.Changes)
}

func (m *SnapshotPart) check() error {
	if err := checkLogID(m.Log); err != nil {
		return err
	}
	if m.Version == 0 {
		return &MalformedError{Reason: "snapshot part without a version"}
	}
	if m.PartCount > MaxSnapshotParts || m.Index < 0 || m.Index >= m.PartCount {
		return &MalformedError{Reason: "snapshot part with an invalid index or number of parts"}
	}
	if len(m.Changes) > MaxSnapshotPartChanges || changesSize(m.Changes) > MaxSnapshotPartBytes {
		return &MalformedError{Reason: "snapshot part exceeds the size limit"}
	}
	for i := range m.Changes {
		if m.Changes[i].IsRemoval() {
			return &MalformedError{m.Changes[i].Resource, "removal in a snapshot"}
		}
	}
	return checkChanges(m.Changes)
}

func (m *Heartbeat) check() error { return checkOptionalLogID(m.Log) }

func (m *SnapshotDeferral) check() error {
	if m.After < 0 {
		return &MalformedError{Reason: "negative snapshot deferral"}
	}
	return nil
}

func (m *PublisherBehind) check() error { return nil }

func (m *LogMismatch) check() error { return checkOptionalLogID(m.Log) }

func (m *Acknowledge) check() error { return nil }

func (m *Refusal) check() error {
	if len(m.Reason) > MaxRefusalReasonBytes {
		return &MalformedError{Reason: "refusal with a reason that is too long"}
	}
	if m.Resource == "" {
		return nil
	}
	return checkResource(m.Resource)
}

// checkOptionalLogID checks a log ID that may be empty.
func checkOptionalLogID(log LogID) error {
	if log == "" {
		return nil
	}
	return checkLogID(log)
}
