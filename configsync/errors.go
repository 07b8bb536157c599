package configsync

import "fmt"

// LogMismatchError reports that a message or a command belongs to another log than the current one.
type LogMismatchError struct {
	Current LogID
	Got     LogID
}

func (e *LogMismatchError) Error() string {
	return fmt.Sprintf("of log %q, not of log %q", e.Got, e.Current)
}

// VersionMismatchError reports that a delta starts from another version than the current one.
type VersionMismatchError struct {
	Current Version
	From    Version
}

func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("a delta from version %d, not from version %d", e.From, e.Current)
}

// VersionNotIncreasingError reports that a delta doesn't lead to a later version.
type VersionNotIncreasingError struct {
	From Version
	To   Version
}

func (e *VersionNotIncreasingError) Error() string {
	return fmt.Sprintf("a delta from version %d to version %d, which is not later", e.From, e.To)
}

// DigestMismatchError reports that the content of a version doesn't have the digest that was announced for it.
type DigestMismatchError struct {
	Version Version
	Want    Digest
	Got     Digest
}

func (e *DigestMismatchError) Error() string {
	return fmt.Sprintf("version %d has digest %x, not %x", e.Version, e.Got[:8], e.Want[:8])
}

// MalformedError reports that a message, a command or a file breaks the rules of its format. Resource is empty where no
// single one is at fault.
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

// ConflictError reports that a command was made for another version than the current one.
type ConflictError struct {
	Base    Version
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, the current one is %d", e.Base, e.Current)
}

// PlanIDConflictError reports that a quota plan can't have its name, because its id belongs to another name, live or removed.
type PlanIDConflictError struct {
	Resource Resource // of the plan that was refused
	ID       uint32
	Owner    string // the name that has the id
}

func (e *PlanIDConflictError) Error() string {
	return fmt.Sprintf("%s: its id %08x is reserved for plan %q; choose another name", e.Resource, e.ID, e.Owner)
}

// NoChangeError reports that a command changes nothing, so that there is no new version.
type NoChangeError struct {
	Current Version
}

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("nothing to change in version %d", e.Current)
}

// LogExistsError reports that the log was created before.
type LogExistsError struct {
	Log LogID
}

func (e *LogExistsError) Error() string { return fmt.Sprintf("log %q exists", e.Log) }

// CorruptFileError reports the first byte from which a file is damaged. All before Offset is intact.
type CorruptFileError struct {
	Offset int // bytes
	Reason string
	Err    error // the cause; nil: none but Reason
}

func (e *CorruptFileError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("at byte %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("at byte %d: %s", e.Offset, e.Reason)
}

func (e *CorruptFileError) Unwrap() error { return e.Err }
