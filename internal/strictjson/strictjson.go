// Package strictjson decodes JSON that operators write, in which a misspelt key must not be ignored.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode decodes one JSON object into a struct. A key that the struct lacks, or a value of another type, is an error
// that names the key.
func Decode(raw string, into any) error {
	d := json.NewDecoder(strings.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return describe(typeError)
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

// describe returns an error that names the key of a value of another type.
func describe(err *json.UnmarshalTypeError) error {
	if err.Field == "" {
		return errors.New("not an object")
	}
	key := err.Field[strings.LastIndexByte(err.Field, '.')+1:] // without the name of an embedded struct
	return fmt.Errorf("%s: unexpected value %s", key, err.Value)
}
