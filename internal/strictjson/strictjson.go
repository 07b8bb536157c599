// Package strictjson decodes JSON written by operators. It rejects unknown keys, so that a misspelt setting is reported
// instead of silently having no effect.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode decodes exactly one JSON object into the struct that into points to. A key without a matching field or a value
// of the wrong type is an error that names the key. Text after the object is an error, too.
func Decode(raw string, into any) error {
	d := json.NewDecoder(strings.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return describeTypeError(typeError)
	}
	if err != nil {
		return err
	}
	_, err = d.Token()
	if err != io.EOF {
		return errors.New("more than one object")
	}
	return nil
}

// describeTypeError returns an error that names the key whose value has the wrong type.
func describeTypeError(err *json.UnmarshalTypeError) error {
	if err.Field == "" {
		return errors.New("not an object")
	}
	key := err.Field[strings.LastIndexByte(err.Field, '.')+1:] // drops the path of embedded structs before the key
	return fmt.Errorf("%s: unexpected value %s", key, err.Value)
}
