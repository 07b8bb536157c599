// Package strictjson decodes JSON that operators write, where a misspelt key must not be passed over.
package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Decode reads one JSON object into a struct. A key that the struct lacks, or a value of another kind, is an error that
// names the key.
func Decode(raw string, into any) error {
	d := json.NewDecoder(strings.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			if kind.Field == "" {
				return errors.New("not an object")
			}
			key := kind.Field[strings.LastIndexByte(kind.Field, '.')+1:] // without the name of an embedded struct
			return fmt.Errorf("%s: unexpected value %s", key, kind.Value)
		}
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one object")
	}
	return nil
}
