package configsync

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// maxReservedPlans bounds the number of plan names in a log, present and removed. With more, the decoder would reject a
// snapshot of the state.
const maxReservedPlans = maxFileArrayElements

// Command is an entry of the publishers' replicated log. Either CreateLog alone is set and creates the log of
// versions, or the other fields are set and propose one new version.
type Command struct {
	CreateLog LogID    `cbor:"1,keyasint,omitempty"`
	Log       LogID    `cbor:"2,keyasint,omitempty"`
	Base      Version  `cbor:"3,keyasint,omitempty"` // the current version when the changes were made
	Changes   []Change `cbor:"4,keyasint,omitempty"` // sorted by resource, at most one per resource
}

// NewCommand returns a command that proposes a new version, made from the version base by changes. They may be in any
// order.
func NewCommand(log LogID, base Version, changes []Change) *Command {
	sorted := slices.Clone(changes)
	sortChanges(sorted)
	return &Command{Log: log, Base: base, Changes: sorted}
}

// EncodeCommand encodes a command as an entry of the replicated log. It returns a *MalformedError if the result would
// exceed MaxCommandBytes.
func EncodeCommand(command *Command) ([]byte, error) {
	encoded := marshal(command)
	if len(encoded) > MaxCommandBytes {
		return nil, &MalformedError{Reason: "too many changes at once: the command exceeds the size limit"}
	}
	return encoded, nil
}

// decodeCommand decodes the result of EncodeCommand. It checks the length, but not the changes.
func decodeCommand(encoded []byte) (*Command, error) {
	if len(encoded) > MaxCommandBytes {
		return nil, &MalformedError{Reason: "too many changes at once: the command exceeds the size limit"}
	}
	command := &Command{}
	if err := fileDecoder.Unmarshal(encoded, command); err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	return command, nil
}

// PlanID returns the number that stands for a quota plan in messages between gateways. It is the 32-bit FNV-1a hash of
// the plan's name, or 1 if the hash is 0, since 0 means no plan.
func PlanID(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return max(hash.Sum32(), 1)
}

// State is the state machine of the publishers' replicated log. It holds the current document, its recent history and
// the ids of all plans that the log has had. The same commands lead to the same state, byte for byte in its snapshot. A
// State is not safe for concurrent use.
type State struct {
	limits    HistoryLimits
	document  *Document
	history   *History
	planNames map[uint32]string // names of present and removed plans by their ids
}

// NewState returns the state of an empty replicated log. The limits must be the same at all publishers, since they
// determine the history.
func NewState(limits HistoryLimits) *State {
	document := NewDocument("")
	return &State{
		limits:    limits,
		document:  document,
		history:   NewHistory(limits, document),
		planNames: map[uint32]string{},
	}
}

// Document returns the current document. Apply changes it in place; the caller must not change it.
func (s *State) Document() *Document { return s.document }

// History returns the recent deltas. Apply changes the history in place.
func (s *State) History() *History { return s.history }

// Apply applies a command encoded by EncodeCommand. It returns the delta to the new version, or nil if the command
// created the log. If it fails, the state is unchanged and the error is a *MalformedError, *LogExistsError,
// *LogMismatchError, *ConflictError, *NoChangeError or *PlanIDConflictError.
func (s *State) Apply(encoded []byte) (*Delta, error) {
	command, err := decodeCommand(encoded)
	if err != nil {
		return nil, err
	}
	if command.CreateLog != "" {
		return nil, s.createLog(command.CreateLog)
	}
	return s.applyProposal(command)
}

// createLog sets the ID of the log, which must not have one yet.
func (s *State) createLog(log LogID) error {
	if s.document.log != "" {
		return &LogExistsError{Log: s.document.log}
	}
	if err := checkLogID(log); err != nil {
		return err
	}
	s.document.log = log
	return nil
}

// applyProposal makes a new version from the changes of a command and adds it to the history.
func (s *State) applyProposal(command *Command) (*Delta, error) {
	if err := s.Check(command); err != nil {
		return nil, err
	}
	changes := s.effectiveChanges(command.Changes)
	delta := &Delta{
		Log:     s.document.log,
		From:    s.document.version,
		To:      s.document.version + 1,
		Changes: changes,
		Digest:  s.document.summaryAfter(changes).digest,
	}
	previous := s.document.previousValues(changes)
	if err := s.document.Apply(delta); err != nil {
		return nil, err
	}
	if err := s.history.append(delta, previous); err != nil {
		return nil, err
	}
	s.reservePlanIDs(changes)
	return delta, nil
}

// Check returns the error that Apply would return now for a command that proposes a version, and changes nothing.
func (s *State) Check(command *Command) error {
	if s.document.log == "" || command.Log != s.document.log {
		return &LogMismatchError{Current: s.document.log, Got: command.Log}
	}
	if command.Base != s.document.version {
		return &ConflictError{Base: command.Base, Current: s.document.version}
	}
	if len(command.Changes) > MaxDocumentResources {
		return &MalformedError{Reason: "too many changes at once"}
	}
	if err := checkChanges(command.Changes); err != nil {
		return err
	}
	changes := s.effectiveChanges(command.Changes)
	if len(changes) == 0 {
		return &NoChangeError{Current: s.document.version}
	}
	after := s.document.summaryAfter(changes)
	if err := after.check(); err != nil {
		return err
	}
	return s.checkPlanIDs(changes)
}

// effectiveChanges returns those changes that would alter the current document.
func (s *State) effectiveChanges(changes []Change) []Change {
	var effective []Change
	for _, change := range changes {
		old, found := s.document.resources[change.Resource]
		if found == change.IsRemoval() || found && !bytes.Equal(old, change.Value) {
			effective = append(effective, change)
		}
	}
	return effective
}

// checkPlanIDs returns an error if the id of a plan in changes is already taken by another name, in the state or
// earlier in changes, or if the log would have had too many plan names.
func (s *State) checkPlanIDs(changes []Change) error {
	added := map[uint32]string{}
	for i := range changes {
		change := &changes[i]
		name, isPlan := strings.CutPrefix(string(change.Resource), PlanPrefix)
		if !isPlan {
			continue
		}
		id := PlanID(name)
		owner, reserved := s.planNames[id]
		if !reserved {
			owner, reserved = added[id]
		}
		if reserved && owner != name {
			return &PlanIDConflictError{Resource: change.Resource, ID: id, Owner: owner}
		}
		if !reserved {
			added[id] = name
		}
	}
	if len(s.planNames)+len(added) > maxReservedPlans {
		return &MalformedError{Reason: "the log would exceed the limit for plan names, removed ones included"}
	}
	return nil
}

// reservePlanIDs records the ids of the plans in changes. They stay reserved after a plan is removed, so that
// counters of two plans are never mixed.
func (s *State) reservePlanIDs(changes []Change) {
	for i := range changes {
		name, isPlan := strings.CutPrefix(string(changes[i].Resource), PlanPrefix)
		if isPlan {
			s.planNames[PlanID(name)] = name
		}
	}
}

// stateRecord is the body of a record of kind recordState: a snapshot of a State.
type stateRecord struct {
	Document fileDocument   `cbor:"1,keyasint"`
	Oldest   Version        `cbor:"2,keyasint"` // the oldest version of the history
	Digest   Digest         `cbor:"3,keyasint"` // of the document at Oldest
	Entries  []historyEntry `cbor:"4,keyasint"`
	Plans    []string       `cbor:"5,keyasint"` // names of present and removed plans, sorted
}

// Snapshot encodes the complete state for Restore. Equal states have equal snapshots.
func (s *State) Snapshot() []byte {
	record := &stateRecord{
		Document: *newFileDocument(s.document),
		Oldest:   s.history.oldest,
		Digest:   s.history.oldestDigest,
		Entries:  s.history.entries,
		Plans:    slices.Sorted(maps.Values(s.planNames)),
	}
	return encodeRecord(recordState, marshal(record))
}

// Restore replaces the state by one that Snapshot encoded. If it fails, the state is unchanged and the error is
// a *CorruptFileError. The results of earlier calls of Document and History still belong to the replaced state.
func (s *State) Restore(snapshot []byte) error {
	kind, body, size, err := decodeRecord(snapshot, 0)
	if err != nil {
		return err
	}
	if kind != recordState || size != len(snapshot) {
		return &CorruptFileError{Reason: "not a record of a state"}
	}
	var record stateRecord
	if err := fileDecoder.Unmarshal(body, &record); err != nil {
		return &CorruptFileError{Reason: "decoding a state", Err: err}
	}
	restored, err := record.state(s.limits)
	if err != nil {
		return &CorruptFileError{Reason: "invalid content of a state", Err: err}
	}
	*s = *restored
	return nil
}

// state rebuilds the state and checks that its history leads to its document.
func (r *stateRecord) state(limits HistoryLimits) (*State, error) {
	document, err := r.Document.document()
	if err != nil {
		return nil, err
	}
	history, err := r.history(limits)
	if err != nil {
		return nil, err
	}
	if history.latest != document.version {
		return nil, &MalformedError{Reason: "the history doesn't lead to the version of the document"}
	}
	state := &State{limits: limits, document: document, history: history, planNames: map[uint32]string{}}
	for _, name := range r.Plans {
		state.planNames[PlanID(name)] = name
	}
	return state, nil
}

// history rebuilds the history, dropping the oldest entries beyond the limits.
func (r *stateRecord) history(limits HistoryLimits) (*History, error) {
	history := NewHistory(limits, NewDocument(""))
	history.oldest = r.Oldest
	history.latest = r.Oldest
	history.oldestDigest = r.Digest
	for i := range r.Entries {
		entry := &r.Entries[i]
		if len(entry.Previous) != len(entry.Delta.Changes) {
			return nil, &MalformedError{Reason: "a history entry has not one previous value for each change"}
		}
		if err := history.append(&entry.Delta, entry.Previous); err != nil {
			return nil, err
		}
	}
	return history, nil
}
