package configsync

import "fmt"

// LogMismatchError reports that a message or a command belongs to a log other than the current one.
type LogMismatchError struct {
	Current LogID
	Got     LogID
}

func (e *LogMismatchError) Error() string {
	return fmt.Sprintf("belongs to log %q, the current one is log %q", e.Got, e.Current)
}

// VersionMismatchError reports that a delta starts from a version other than the current one.
type VersionMismatchError struct {
	Current Version
	From    Version
}

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("the delta starts from version %d, the current one is version %d", e.From, e.Current)
}

// VersionNotIncreasingError reports that the version a delta leads to is not later than the one that it starts from.
type VersionNotIncreasingError struct {
	From Version
	To   Version
}

func (e *VersionNotIncreasingError) Error() string {
	return fmt.Sprintf("the delta starts from version %d and leads to version %d, which is not later", e.From, e.To)
}

// DigestMismatchError reports that the content of a version doesn't have the expected digest.
type DigestMismatchError struct {
	Version Version
	Want    Digest
	Got     Digest
}

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("version %d has digest %x, want %x", e.Version, e.Got[:8], e.Want[:8])
}

// MalformedError reports that a message, a command or a file violates the rules or the limits of its format. Resource
// is the resource at fault, or empty if the fault isn't in a single one.
type MalformedError struct {
	Resource Resource
	Reason   string
}

func (e *MalformedError) Error() string {
	if e.Resource == "" {
		return e.Reason
	}
	return fmt.Sprintf("%.*q: %s", MaxResourceNameBytes, string(e.Resource), e.Reason)
}

// ConflictError reports that the changes of a command were made for a version, Base, other than the current one.
type ConflictError struct {
	Base    Version
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, the current one is %d", e.Base, e.Current)
}

// PlanIDConflictError reports that a quota plan can't be added because its id, a hash of its name, is already taken by
// a plan with another name. The ids of removed plans stay taken.
type PlanIDConflictError struct {
	Resource Resource // of the refused plan
	ID       uint32
	Owner    string // name of the plan that has the id
}

func (e *PlanIDConflictError) Error() string {
	return fmt.Sprintf("%s: its id %08x is reserved for plan %q; choose another name", e.Resource, e.ID, e.Owner)
}

// NoChangeError reports that a command would change nothing, so that it makes no new version.
type NoChangeError struct {
	Current Version
}

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("the changes are already in version %d", e.Current)
}

// LogExistsError reports that a log can't be created because the publishers already have one.
type LogExistsError struct {
	Log LogID
}

func (e *LogExistsError) Error() string { return fmt.Sprintf("log %q exists already", e.Log) }

// CorruptFileError reports that a file is damaged. The records before Offset are intact; the one at Offset is
// not, or it is not allowed there.
type CorruptFileError struct {
	Offset int // position of the damaged record in the file, in bytes
	Reason string
	Err    error // details of Reason; nil: none
}

func (e *CorruptFileError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("at byte %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("at byte %d: %s", e.Offset, e.Reason)
}

func (e *CorruptFileError) Unwrap() error { return e.Err }
