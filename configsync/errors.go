// The typed errors of this package.

package configsync

import "fmt"

// WrongLogError tells that something belongs to another log than the one that is held.
type WrongLogError struct {
	Current LogID
	Got     LogID
}

func (e *WrongLogError) Error() string {
	return fmt.Sprintf("of log %q, not of log %q", e.Got, e.Current)
}

// WrongFromError tells that a delta starts from another version than the one that is held.
type WrongFromError struct {
	Current Version
	From    Version
}

func (e *WrongFromError) Error() string {
	return fmt.Sprintf("a delta from version %d, not from version %d", e.From, e.Current)
}

// NotIncreasingError tells that a delta doesn't lead to a later version.
type NotIncreasingError struct {
	From Version
	To   Version
}

func (e *NotIncreasingError) Error() string {
	return fmt.Sprintf("a delta from version %d to version %d, which is not later", e.From, e.To)
}

// DigestError tells that the content doesn't have the digest that was announced for its version.
type DigestError struct {
	Version Version
	Want    Digest
	Got     Digest
}

func (e *DigestError) Error() string {
	return fmt.Sprintf("version %d has digest %x, not %x", e.Version, e.Got[:8], e.Want[:8])
}

// MalformedError tells that something breaks the rules of its form. Resource is empty where no single one is at fault.
type MalformedError struct {
	Resource Resource
	Reason   string
}

func (e *MalformedError) Error() string {
	if e.Resource == "" {
		return e.Reason
	}
	return fmt.Sprintf("%.*q: %s", MaxResourceBytes, string(e.Resource), e.Reason)
}

// ConflictError tells that a command was made for another version than the current one.
type ConflictError struct {
	Base    Version
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("based on version %d, the current one is %d", e.Base, e.Current)
}

// PlanIDError tells that a quota plan can't have its name, because its id belongs to another name, live or removed.
type PlanIDError struct {
	Resource Resource // the one refused
	ID       uint32
	Owner    string // the name that has the id
}

func (e *PlanIDError) Error() string {
	return fmt.Sprintf("%s: its id %08x is reserved for plan %q; choose another name", e.Resource, e.ID, e.Owner)
}

// NoChangeError tells that a command changes nothing, so that there is no new version.
type NoChangeError struct {
	Current Version
}

func (e *NoChangeError) Error() string {
	return fmt.Sprintf("nothing to change in version %d", e.Current)
}

// LogExistsError tells that the log was created before.
type LogExistsError struct {
	Log LogID
}

func (e *LogExistsError) Error() string { return fmt.Sprintf("log %q exists", e.Log) }

// FileError tells where a file stops to be sound. What comes before Offset is.
type FileError struct {
	Offset int // bytes
	Reason string
	Err    error // nil, or the cause
}

func (e *FileError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("at byte %d: %s: %v", e.Offset, e.Reason, e.Err)
	}
	return fmt.Sprintf("at byte %d: %s", e.Offset, e.Reason)
}

func (e *FileError) Unwrap() error { return e.Err }
