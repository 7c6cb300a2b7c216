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

// file is a parsed configuration file whose values have not been converted yet.
type file struct {
	settings     map[string]string // the settings section, by dotted name below it
	values       map[string]string // the other sections, by dotted name
	knownServers json.RawMessage   // the undecoded server list; nil: none
}

// parseFile splits a file into sections and values. It leaves the server list undecoded: the list can contain
// thousands of servers, and a node that starts on a small fraction of a core should decode it only once.
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

// decodeSection decodes a section. Numbers stay in their written form, so that none loses digits.
func decodeSection(section json.RawMessage) (value any, err error) {
	decoder := json.NewDecoder(bytes.NewReader(section))
	decoder.UseNumber()
	err = decoder.Decode(&value)
	return value, err
}

// flattenObject returns the values of an object by dotted name.
func flattenObject(object map[string]any) map[string]string {
	values := map[string]string{}
	for key, value := range object {
		flatten(values, key, value)
	}
	return values
}

// flatten adds a value to values under its dotted name, in the format of the simulator's wire protocol. The
// length of a list is stored under NAME.count. Nested elements are stored under NAME.0, NAME.1 and so on; if
// all elements are scalars, they are stored under NAME, separated by commas.
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
	var scalars []string
	for i, element := range list {
		switch element.(type) {
		case map[string]any, []any:
			flatten(values, key+"."+strconv.Itoa(i), element)
		default:
			scalars = append(scalars, fmt.Sprint(element))
		}
	}
	if len(scalars) == len(list) {
		values[key] = strings.Join(scalars, ",")
	}
}

// restartValues returns the values that take effect only at a start. The discovery address can change while
// the node runs, and the seed is not used again after the start.
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
