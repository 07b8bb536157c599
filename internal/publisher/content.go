package publisher

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"ravensill/configsync"
	"ravensill/internal/strictjson"
)

// RequestError reports that a request from an operator is not valid.
type RequestError struct {
	Path   string // path of the key at fault, such as plans.0.name; empty: no single key is at fault
	Reason string
}

func (e *RequestError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// completeContent is the body of PUT /v1/configuration. Its keys are those of a gateway's settings file, plus the list
// of all gateways. The name of this type is part of the error texts of encoding/json, which operators receive.
type completeContent struct {
	Plans    []json.RawMessage `json:"plans"`
	Profiles []json.RawMessage `json:"profiles"`
	Peers    []string          `json:"peers"` // addresses of the gateways, by member index
	Limits   json.RawMessage   `json:"limits"`
}

// parseContent decodes the body of PUT /v1/configuration into resources. Its errors are of type *RequestError.
func parseContent(body string) (map[configsync.Resource][]byte, error) {
	var content completeContent
	err := strictjson.Decode(body, &content)
	if err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	resources := map[configsync.Resource][]byte{}
	err = addNamedResources(resources, configsync.PlanPrefix, "plans", content.Plans)
	if err != nil {
		return nil, err
	}
	err = addNamedResources(resources, configsync.ClassPrefix, "profiles", content.Profiles)
	if err != nil {
		return nil, err
	}
	for i, address := range content.Peers {
		name := configsync.MemberPrefix + configsync.Resource(strconv.Itoa(i))
		resources[name], err = json.Marshal(address)
		if err != nil {
			return nil, &RequestError{fmt.Sprintf("peers.%d", i), err.Error()}
		}
	}
	if len(content.Limits) > 0 {
		resources[configsync.LimitsResource] = compactJSON(content.Limits)
	}
	return resources, nil
}

// addNamedResources adds each JSON object of a list to resources, under the prefix followed by the object's name. key
// is the key of the list in the request, for the paths in errors.
func addNamedResources(
	resources map[configsync.Resource][]byte,
	prefix configsync.Resource,
	key string,
	list []json.RawMessage,
) error {
	for i, text := range list {
		path := fmt.Sprintf("%s.%d", key, i)
		var object struct{ Name string }
		err := json.Unmarshal(text, &object)
		if err != nil {
			return &RequestError{path, "not an object with a name"}
		}
		if object.Name == "" {
			return &RequestError{path + ".name", "missing"}
		}
		resource := prefix + configsync.Resource(object.Name)
		if _, twice := resources[resource]; twice {
			return &RequestError{path + ".name", fmt.Sprintf("%q is given twice", object.Name)}
		}
		resources[resource] = compactJSON(text)
	}
	return nil
}

// partialContent is the body of PATCH /v1/configuration. The name of this type is part of the error texts of
// encoding/json, which operators receive.
type partialContent struct {
	Set    map[configsync.Resource]json.RawMessage `json:"set"`
	Remove []configsync.Resource                   `json:"remove"`
}

// parseChanges decodes the body of PATCH /v1/configuration into changes, at most one of each resource. Its errors are
// of type *RequestError.
func parseChanges(body string) ([]configsync.Change, error) {
	var content partialContent
	err := strictjson.Decode(body, &content)
	if err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	var changes []configsync.Change
	for _, resource := range slices.Sorted(maps.Keys(content.Set)) {
		changes = append(changes, configsync.Change{Resource: resource, Value: compactJSON(content.Set[resource])})
	}
	removed := map[configsync.Resource]bool{}
	for i, resource := range content.Remove {
		_, set := content.Set[resource]
		if set || removed[resource] {
			return nil, &RequestError{fmt.Sprintf("remove.%d", i), fmt.Sprintf("%q is given twice", resource)}
		}
		removed[resource] = true
		changes = append(changes, configsync.Change{Resource: resource})
	}
	return changes, nil
}

// compactJSON removes insignificant white space, so that a resource that differs only in its formatting counts as
// unchanged. The text must be valid JSON; callers have decoded it before.
func compactJSON(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, text) != nil {
		return text
	}
	return buffer.Bytes()
}
