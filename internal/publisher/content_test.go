package publisher

import (
	"errors"
	"testing"

	"ravensill/configsync"
)

// FuzzContent checks that the parsers of request bodies never panic. They return either a *RequestError or resources
// with a name and a value, and no resource twice.
func FuzzContent(f *testing.F) {
	f.Add(`{"plans":[{"name":"gold"}],"profiles":[{"name":"a"}],"peers":["10.0.0.1:1"],"limits":{}}`)
	f.Add(`{"set":{"plans/gold":{"name":"gold"},"limits":null},"remove":["plans/team"]}`)
	f.Add(`{"plans":[null]}{`)
	f.Add(`{"plans":{"name":"a"}}`)
	f.Fuzz(func(t *testing.T, body string) {
		var request *RequestError
		resources, err := parseContent(body)
		if err != nil && !errors.As(err, &request) {
			t.Errorf("parseContent returned an error of type %T, want *RequestError: %v", err, err)
		}
		for resource, value := range resources {
			if resource == "" || len(value) == 0 {
				t.Errorf("resource %q has the value %q, want a name and a value", resource, value)
			}
		}
		changes, err := parseChanges(body)
		if err != nil && !errors.As(err, &request) {
			t.Errorf("parseChanges returned an error of type %T, want *RequestError: %v", err, err)
		}
		named := map[configsync.Resource]bool{}
		for _, change := range changes {
			if named[change.Resource] {
				t.Errorf("resource %q is changed twice", change.Resource)
			}
			named[change.Resource] = true
		}
	})
}
