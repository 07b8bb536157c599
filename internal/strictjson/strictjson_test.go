package strictjson

import "testing"

// Every error about a key names it, so that operators can find it in their file.
func TestDecodeRefusesWhatIsNotOneKnownObject(t *testing.T) {
	type embedded struct {
		Rate int `json:"rate"`
	}
	for text, want := range map[string]string{
		`{"name":"a","rate":1}`: "",
		`{}`:                    "",
		`{"names":"a"}`:         `json: unknown field "names"`,
		`{"name":1}`:            "name: unexpected value number",
		`{"rate":"fast"}`:       "rate: unexpected value string",
		`[]`:                    "not an object",
		`{} {}`:                 "more than one object",
		`{`:                     "unexpected EOF",
	} {
		var object struct {
			embedded
			Name string `json:"name"`
		}
		got := ""
		if err := Decode(text, &object); err != nil {
			got = err.Error()
		}
		if got != want {
			t.Errorf("Decode(%s): error %q, want %q", text, got, want)
		}
	}
}
