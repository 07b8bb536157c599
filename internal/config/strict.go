package config

import "ravensill/internal/strictjson"

// strict reads an optional section, one JSON object, into a struct.
func strict(raw string, into any) error { return strictjson.Decode(raw, into) }
