package config

import (
	"errors"
	"fmt"
)

// KeyError is an error about the value of one key, or about a key that is missing.
type KeyError struct {
	Path string // path of the key in its file, section or settings, such as "peers.3"
	Err  error
}

// Error returns the path of the key and the message of its error.
func (e *KeyError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the error without the path.
func (e *KeyError) Unwrap() error { return e.Err }

// keyError wraps err in a KeyError. It returns nil if err is nil.
func keyError(path string, err error) error {
	if err == nil {
		return nil
	}
	return &KeyError{Path: path, Err: err}
}

// keyErrorf returns a KeyError with a formatted message.
func keyErrorf(path, format string, args ...any) error {
	return &KeyError{Path: path, Err: fmt.Errorf(format, args...)}
}

var (
	errMissing       = errors.New("missing")
	errRepeated      = errors.New("given twice")
	errInvalidSecret = errors.New("32 hex digits or more wanted")
)
