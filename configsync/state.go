package configsync

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
)

// maxReservedPlans bounds the plan names of a log, live and removed, so that a snapshot of the state can be read back.
const maxReservedPlans = maxFileElements

// Command is an entry of the publishers' replicated log. It either sets Create alone, which creates the log of
// versions, or the other fields, which propose one new version.
type Command struct {
	CreateLog LogID    `cbor:"1,keyasint,omitempty"`
	Log       LogID    `cbor:"2,keyasint,omitempty"`
	Base      Version  `cbor:"3,keyasint,omitempty"` // the version that the changes were made for
	Changes   []Change `cbor:"4,keyasint,omitempty"` // sorted by resource, each named once
}

// NewCommand returns a command that proposes changes, in any order, to a version.
func NewCommand(log LogID, base Version, changes []Change) *Command {
	sorted := slices.Clone(changes)
	sortChanges(sorted)
	return &Command{Log: log, Base: base, Changes: sorted}
}

// EncodeCommand returns a command as an entry of the replicated log. The error is a *MalformedError where the command
// has too many changes.
func EncodeCommand(command *Command) ([]byte, error) {
	text := marshal(command)
	if len(text) > MaxCommandBytes {
		return nil, &MalformedError{Reason: "too many changes at once"}
	}
	return text, nil
}

func decodeCommand(text []byte) (*Command, error) {
	if len(text) > MaxCommandBytes {
		return nil, &MalformedError{Reason: "too many changes at once"}
	}
	command := &Command{}
	if err := fileDecoder.Unmarshal(text, command); err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	return command, nil
}

// PlanID returns the number of a quota plan in messages between gateways: the 32-bit FNV-1a hash of its name, or 1
// where that is 0, since 0 means no plan.
func PlanID(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return max(hash.Sum32(), 1)
}

// State is the state machine of the publishers' replicated log: the current document, its recent history and the ids of
// all plans of the log. The same commands lead to the same state, byte by byte. It is not safe for concurrent use.
type State struct {
	limits   HistoryLimits
	document *Document
	history  *History
	plans    map[uint32]string // names of plans, live and removed, by their ids
}

// NewState returns the state of an empty replicated log. All publishers need the same limits.
func NewState(limits HistoryLimits) *State {
	document := NewDocument("")
	return &State{
		limits:   limits,
		document: document,
		history:  NewHistory(limits, document),
		plans:    map[uint32]string{},
	}
}

// Document returns the current document, which changes with the state. The caller must not change it.
func (s *State) Document() *Document { return s.document }

// History returns the recent deltas, which change with the state.
func (s *State) History() *History { return s.history }

// Apply applies an encoded command. It returns the delta to the new version, or nil where the log was created. The
// error is a *MalformedError, *LogExistsError, *WrongLogError, *ConflictError, *NoChangeError or *PlanIDError, and
// then nothing has changed.
func (s *State) Apply(text []byte) (*Delta, error) {
	command, err := decodeCommand(text)
	if err != nil {
		return nil, err
	}
	if command.CreateLog != "" {
		return nil, s.create(command.CreateLog)
	}
	return s.propose(command)
}

func (s *State) create(log LogID) error {
	if s.document.log != "" {
		return &LogExistsError{Log: s.document.log}
	}
	if err := checkLog(log); err != nil {
		return err
	}
	s.document.log = log
	return nil
}

func (s *State) propose(command *Command) (*Delta, error) {
	if err := s.Check(command); err != nil {
		return nil, err
	}
	changes := s.effective(command.Changes)
	delta := &Delta{
		Log:     s.document.log,
		From:    s.document.version,
		To:      s.document.version + 1,
		Changes: changes,
		Digest:  s.document.summaryAfter(changes).digest,
	}
	previous := s.document.previous(changes)
	if err := s.document.Apply(delta); err != nil {
		return nil, err
	}
	if err := s.history.append(delta, previous); err != nil {
		return nil, err
	}
	s.reservePlans(changes)
	return delta, nil
}

// Check returns the error that Apply would return for a proposal at this moment, and changes nothing.
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
	changes := s.effective(command.Changes)
	if len(changes) == 0 {
		return &NoChangeError{Current: s.document.version}
	}
	after := s.document.summaryAfter(changes)
	if err := after.check(); err != nil {
		return err
	}
	return s.checkPlans(changes)
}

// effective returns the changes that differ from the current document.
func (s *State) effective(changes []Change) []Change {
	var effective []Change
	for _, change := range changes {
		old, found := s.document.resources[change.Resource]
		if found == change.IsRemoval() || found && !bytes.Equal(old, change.Value) {
			effective = append(effective, change)
		}
	}
	return effective
}

// checkPlans returns an error if the id of a plan belongs to another name, in the state or earlier in the same changes.
func (s *State) checkPlans(changes []Change) error {
	added := map[uint32]string{}
	for i := range changes {
		change := &changes[i]
		name, isPlan := strings.CutPrefix(string(change.Resource), PlanPrefix)
		if !isPlan {
			continue
		}
		id := PlanID(name)
		owner, reserved := s.plans[id]
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
	if len(s.plans)+len(added) > maxReservedPlans {
		return &MalformedError{Reason: "the log has had too many names of plans"}
	}
	return nil
}

func (s *State) reservePlans(changes []Change) {
	for i := range changes {
		name, isPlan := strings.CutPrefix(string(changes[i].Resource), PlanPrefix)
		if isPlan {
			s.plans[PlanID(name)] = name
		}
	}
}

// stateRecord is the body of a snapshot of the state.
type stateRecord struct {
	Document fileDocument   `cbor:"1,keyasint"`
	Oldest   Version        `cbor:"2,keyasint"` // oldest version of the history
	Digest   Digest         `cbor:"3,keyasint"` // at Oldest
	Entries  []historyEntry `cbor:"4,keyasint"`
	Plans    []string       `cbor:"5,keyasint"` // names, sorted
}

// Snapshot returns the complete state as bytes.
func (s *State) Snapshot() []byte {
	record := &stateRecord{
		Document: *fileDocumentOf(s.document),
		Oldest:   s.history.oldest,
		Digest:   s.history.digest,
		Entries:  s.history.entries,
		Plans:    slices.Sorted(maps.Values(s.plans)),
	}
	return encodeRecord(recordState, marshal(record))
}

// Restore replaces the state by one that Snapshot returned. The error is a *FileError, and then nothing has changed.
// Documents and histories returned before still belong to the replaced state.
func (s *State) Restore(snapshot []byte) error {
	kind, body, size, err := decodeRecord(snapshot, 0)
	if err != nil {
		return err
	}
	if kind != recordState || size != len(snapshot) {
		return &CorruptFileError{Reason: "not a state"}
	}
	var record stateRecord
	if err := fileDecoder.Unmarshal(body, &record); err != nil {
		return &CorruptFileError{Reason: "not a state", Err: err}
	}
	restored, err := record.state(s.limits)
	if err != nil {
		return &CorruptFileError{Reason: "not a state", Err: err}
	}
	*s = *restored
	return nil
}

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
		return nil, &MalformedError{Reason: "a history that doesn't lead to its document"}
	}
	state := &State{limits: limits, document: document, history: history, plans: map[uint32]string{}}
	for _, name := range r.Plans {
		state.plans[PlanID(name)] = name
	}
	return state, nil
}

func (r *stateRecord) history(limits HistoryLimits) (*History, error) {
	history := NewHistory(limits, NewDocument(""))
	history.oldest = r.Oldest
	history.latest = r.Oldest
	history.digest = r.Digest
	for i := range r.Entries {
		entry := &r.Entries[i]
		if len(entry.Previous) != len(entry.Delta.Changes) {
			return nil, &MalformedError{Reason: "a history without its previous values"}
		}
		if err := history.append(&entry.Delta, entry.Previous); err != nil {
			return nil, err
		}
	}
	return history, nil
}
