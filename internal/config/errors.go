package config

import (
	"errors"
	"fmt"
)

// KeyError is a fault of one key.
type KeyError struct {
	Path string // of the key in its file or section, such as "peers.3"
	Err  error
}

// Error returns the path and what is wrong.
func (e *KeyError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns what is wrong.
func (e *KeyError) Unwrap() error { return e.Err }

// keyError makes an error one of the key at a path; nil stays nil.
func keyError(path string, err error) error {
	if err == nil {
		return nil
	}
	return &KeyError{Path: path, Err: err}
}

// keyErrorf makes an error of the key at a path.
func keyErrorf(path, format string, args ...any) error {
	return &KeyError{Path: path, Err: fmt.Errorf(format, args...)}
}

var (
	errMissing    = errors.New("missing")
	errGivenTwice = errors.New("given twice")
	errWeakKey    = errors.New("32 hex digits or more wanted")
)
