// Package figures appends the figures of full-size measurements to files.
package figures

import (
	"errors"
	"os"
	"path/filepath"
)

// Append adds text to the end of a file. It creates the file and its directories if needed.
func Append(path, text string) error {
	err := os.MkdirAll(filepath.Dir(path), 0o755)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	return errors.Join(err, file.Close())
}
