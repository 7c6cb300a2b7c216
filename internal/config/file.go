// SPDX-License-Identifier: Apache-2.0

package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// file is a configuration file whose values have been found but not yet converted.
type file struct {
	settings     map[string]string // the settings section, by dotted name below it
	values       map[string]string // the other sections, by dotted name
	knownServers json.RawMessage   // the list of servers, as text; nil: there is none
}

// parseFile takes a file's text apart. The list of servers stays text: it can name thousands, and a node that starts
// on a small share of a core decodes it once.
func parseFile(text []byte) (*file, error) {
	var sections map[string]json.RawMessage
	if err := json.NewDecoder(bytes.NewReader(text)).Decode(&sections); err != nil {
		return nil, &KeyError{Key: "configuration", Err: err}
	}
	parsed := &file{values: map[string]string{}, knownServers: sections["known"]}
	delete(sections, "known")
	if string(parsed.knownServers) == "null" {
		parsed.knownServers = nil
	}
	for key, section := range sections {
		value, err := decodeSection(section)
		if err != nil {
			return nil, &KeyError{Key: "configuration", Err: err}
		}
		if key != "settings" {
			flatten(parsed.values, key, value)
		} else if settings, isObject := value.(map[string]any); isObject {
			parsed.settings = flattenObject(settings)
		}
	}
	if parsed.settings == nil {
		return nil, &KeyError{Key: "settings", Err: errors.New("missing or not an object")}
	}
	return parsed, nil
}

// decodeSection decodes a section and keeps its numbers as they are written, so that none loses digits.
func decodeSection(section json.RawMessage) (value any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(section))
	decoder.UseNumber()
	err = decoder.Decode(&value)
	return value, err
}

// flattenObject gives each value of an object its dotted name.
func flattenObject(object map[string]any) map[string]string {
	values := map[string]string{}
	for key, value := range object {
		flatten(values, key, value)
	}
	return values
}

// flatten gives each value its dotted name, as the simulator's wire does: a list has its length under NAME.count, and
// either its elements under NAME.0, NAME.1 and so on or, where all are plain values, all of them under NAME, with
// commas between them.
func flatten(values map[string]string, key string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, inner := range v {
			flatten(values, key+"."+name, inner)
		}
	case []any:
		flattenList(values, key, v)
	case nil:
	default:
		values[key] = fmt.Sprint(v)
	}
}

func flattenList(values map[string]string, key string, list []any) {
	values[key+".count"] = strconv.Itoa(len(list))
	var plain []string
	for i, element := range list {
		switch element.(type) {
		case map[string]any, []any:
			flatten(values, key+"."+strconv.Itoa(i), element)
		default:
			plain = append(plain, fmt.Sprint(element))
		}
	}
	if len(plain) == len(list) {
		values[key] = strings.Join(plain, ",")
	}
}

// restartValues returns the values that take effect at a start alone. The address of discovery can change while the
// node runs, and the seed counts for nothing once the node has begun.
func (f *file) restartValues() map[string]string {
	values := map[string]string{}
	for key, value := range f.values {
		if key != "discovery" && key != "seed" {
			values[key] = value
		}
	}
	for key, value := range f.settings {
		values["settings."+key] = value
	}
	return values
}
