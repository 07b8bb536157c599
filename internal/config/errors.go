package config

import (
	"errors"
	"fmt"
)

// KeyError is an error of one key.
type KeyError struct {
	Path string // of the key in its file or section, such as "peers.3"
	Err  error
}

// Error returns the path of the key and the message of its error.
func (e *KeyError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the key's error.
func (e *KeyError) Unwrap() error { return e.Err }

// keyError wraps an error with the path of its key; nil stays nil.
func keyError(path string, err error) error {
	if err == nil {
		return nil
	}
	return &KeyError{Path: path, Err: err}
}

// keyErrorf returns an error of the key at a path.
func keyErrorf(path, format string, args ...any) error {
	return &KeyError{Path: path, Err: fmt.Errorf(format, args...)}
}

var (
	errMissing  = errors.New("missing")
	errRepeated = errors.New("given twice")
	errWeakKey  = errors.New("32 hex digits or more wanted")
)
