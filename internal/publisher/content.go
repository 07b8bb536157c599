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

// RequestError reports a fault of a request, by the path of the key at fault.
type RequestError struct {
	Path   string // empty: no single key is at fault
	Reason string
}

func (e *RequestError) Error() string {
	if e.Path == "" {
		return e.Reason
	}
	return e.Path + ": " + e.Reason
}

// completeContent is the body of PUT /v1/configuration: keys as in the gateway's settings, and its peers.
type completeContent struct {
	Plans    []json.RawMessage `json:"plans"`
	Profiles []json.RawMessage `json:"profiles"`
	Peers    []string          `json:"peers"` // by member index
	Limits   json.RawMessage   `json:"limits"`
}

// parseContent returns the resources of a complete content.
func parseContent(body string) (map[configsync.Resource][]byte, error) {
	var content completeContent
	err := strictjson.Decode(body, &content)
	if err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	resources := map[configsync.Resource][]byte{}
	err = addNamed(resources, configsync.PlanPrefix, "plans", content.Plans)
	if err != nil {
		return nil, err
	}
	err = addNamed(resources, configsync.ClassPrefix, "profiles", content.Profiles)
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
		resources[configsync.LimitsResource] = compact(content.Limits)
	}
	return resources, nil
}

// addNamed adds the objects of the list under a key, each as a resource with the prefix and its name.
func addNamed(
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
		resources[resource] = compact(text)
	}
	return nil
}

// partialContent is the body of PATCH /v1/configuration.
type partialContent struct {
	Set    map[configsync.Resource]json.RawMessage `json:"set"`
	Remove []configsync.Resource                   `json:"remove"`
}

// parseChanges returns the changes of a partial content.
func parseChanges(body string) ([]configsync.Change, error) {
	var content partialContent
	err := strictjson.Decode(body, &content)
	if err != nil {
		return nil, &RequestError{Reason: err.Error()}
	}
	var changes []configsync.Change
	for _, resource := range slices.Sorted(maps.Keys(content.Set)) {
		changes = append(changes, configsync.Change{Resource: resource, Value: compact(content.Set[resource])})
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

// compact removes spaces, so that another layout is no change. The text was decoded before, so it is valid JSON.
func compact(text json.RawMessage) []byte {
	var buffer bytes.Buffer
	if json.Compact(&buffer, text) != nil {
		return text
	}
	return buffer.Bytes()
}
