package configsync

import (
	"strings"
	"time"
	"unicode/utf8"
)

// Protocol is the version of the messages. A publisher ends connections that speak another one.
const Protocol = 1

// Message is one of *Hello, *Delta, *SnapshotPart, *Heartbeat, *Deferral, *Behind, *OtherLog, *Acknowledge, *Refusal.
type Message interface {
	kind() kind
	check() error // the rules for a received message
}

// Hello is the first message of a follower on a connection: its identity and its version in force.
type Hello struct {
	Protocol     uint32  `cbor:"1,keyasint"`
	Member       int     `cbor:"2,keyasint"` // member index
	Name         string  `cbor:"3,keyasint"`
	Incarnation  uint64  `cbor:"4,keyasint"`           // increases with each start of the gateway
	Log          LogID   `cbor:"5,keyasint,omitempty"` // empty: none yet
	InForce      Version `cbor:"6,keyasint"`
	Digest       Digest  `cbor:"7,keyasint"`
	Refused      Version `cbor:"8,keyasint,omitempty"` // latest version that was refused; 0: none
	WantSnapshot bool    `cbor:"9,keyasint,omitempty"` // no delta, since one led to another digest
}

// SnapshotPart is one part of a document, from 0 on. Its changes are sorted, across the parts too, and remove nothing.
type SnapshotPart struct {
	Log       LogID    `cbor:"1,keyasint"`
	Version   Version  `cbor:"2,keyasint"`
	Digest    Digest   `cbor:"3,keyasint"` // of the complete document
	Index     int      `cbor:"4,keyasint"`
	PartCount int      `cbor:"5,keyasint"`
	Changes   []Change `cbor:"6,keyasint"`
}

// Heartbeat reports that the publisher is alive, and its latest version.
type Heartbeat struct {
	Log       LogID   `cbor:"1,keyasint,omitempty"` // empty: no log has been made yet
	Latest    Version `cbor:"2,keyasint"`
	HasQuorum bool    `cbor:"3,keyasint,omitempty"` // the publisher is in contact with a quorum of publishers
}

// SnapshotDeferral asks a follower that needs a snapshot to come back later; the connection ends.
type SnapshotDeferral struct {
	After time.Duration `cbor:"1,keyasint"` // nanoseconds
}

// PublisherBehind reports that the follower has a later version in force than the publisher has; the connection ends.
type PublisherBehind struct {
	Latest Version `cbor:"1,keyasint"`
}

// LogMismatch reports that the publisher has another log than the follower; the connection ends.
type LogMismatch struct {
	Log LogID `cbor:"1,keyasint,omitempty"`
}

// Acknowledge reports that a version is in force at the follower.
type Acknowledge struct {
	Version Version `cbor:"1,keyasint"`
	Digest  Digest  `cbor:"2,keyasint"`
}

// Refusal reports that a follower can't apply a version and keeps the one in force.
type Refusal struct {
	Version  Version  `cbor:"1,keyasint"`
	Resource Resource `cbor:"2,keyasint,omitempty"` // the one at fault, where it is known
	Reason   string   `cbor:"3,keyasint,omitempty"`
}

// NewRefusal returns a refusal with its reason cut to MaxReasonBytes. A resource whose name is not valid is left out.
func NewRefusal(version Version, resource Resource, reason string) *Refusal {
	if checkResource(resource) != nil {
		resource = ""
	}
	return &Refusal{Version: version, Resource: resource, Reason: cutText(reason, MaxRefusalReasonBytes)}
}

// cutText returns the text as valid UTF-8 of at most limit bytes.
func cutText(text string, limit int) string {
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

// kind is the first byte of a message.
type kind byte

const (
	kindHello kind = iota + 1
	kindDelta
	kindSnapshotPart
	kindHeartbeat
	kindDeferral
	kindBehind
	kindOtherLog
	kindAcknowledge
	kindRefusal
)

func (*Hello) kind() kind            { return kindHello }
func (*Delta) kind() kind            { return kindDelta }
func (*SnapshotPart) kind() kind     { return kindSnapshotPart }
func (*Heartbeat) kind() kind        { return kindHeartbeat }
func (*SnapshotDeferral) kind() kind { return kindDeferral }
func (*PublisherBehind) kind() kind  { return kindBehind }
func (*LogMismatch) kind() kind      { return kindOtherLog }
func (*Acknowledge) kind() kind      { return kindAcknowledge }
func (*Refusal) kind() kind          { return kindRefusal }

// newMessage returns an empty message of a kind, or nil for an unknown one.
func newMessage(k kind) Message {
	switch k {
	case kindHello:
		return &Hello{}
	case kindDelta:
		return &Delta{}
	case kindSnapshotPart:
		return &SnapshotPart{}
	case kindHeartbeat:
		return &Heartbeat{}
	case kindDeferral:
		return &SnapshotDeferral{}
	case kindBehind:
		return &PublisherBehind{}
	case kindOtherLog:
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
		return &MalformedError{Reason: "not a member index"}
	}
	if len(m.Name) > MaxGatewayNameBytes {
		return &MalformedError{Reason: "name too long"}
	}
	if m.Log == "" && (m.InForce != 0 || m.Refused != 0) {
		return &MalformedError{Reason: "a version of no log"}
	}
	return checkOptionalLog(m.Log)
}

func (m *Delta) check() error {
	if err := checkLog(m.Log); err != nil {
		return err
	}
	if m.To <= m.From {
		return &VersionNotIncreasingError{From: m.From, To: m.To}
	}
	if !fitsWire(m.Changes) {
		return &MalformedError{Reason: "delta too long"}
	}
	return checkChanges(m.Changes)
}

func (m *SnapshotPart) check() error {
	if err := checkLog(m.Log); err != nil {
		return err
	}
	if m.Version == 0 {
		return &MalformedError{Reason: "a snapshot of no version"}
	}
	if m.PartCount > MaxSnapshotParts || m.Index < 0 || m.Index >= m.PartCount {
		return &MalformedError{Reason: "not a part of a snapshot"}
	}
	if len(m.Changes) > MaxSnapshotPartChanges || changesSize(m.Changes) > MaxSnapshotPartBytes {
		return &MalformedError{Reason: "part of a snapshot too long"}
	}
	for i := range m.Changes {
		if m.Changes[i].IsRemoval() {
			return &MalformedError{m.Changes[i].Resource, "removed in a snapshot"}
		}
	}
	return checkChanges(m.Changes)
}

func (m *Heartbeat) check() error { return checkOptionalLog(m.Log) }

func (m *SnapshotDeferral) check() error {
	if m.After < 0 {
		return &MalformedError{Reason: "a deferral into the past"}
	}
	return nil
}

func (m *PublisherBehind) check() error { return nil }

func (m *LogMismatch) check() error { return checkOptionalLog(m.Log) }

func (m *Acknowledge) check() error { return nil }

func (m *Refusal) check() error {
	if len(m.Reason) > MaxRefusalReasonBytes {
		return &MalformedError{Reason: "reason too long"}
	}
	if m.Resource == "" {
		return nil
	}
	return checkResource(m.Resource)
}

func checkOptionalLog(log LogID) error {
	if log == "" {
		return nil
	}
	return checkLog(log)
}
