package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// The functions of this file fill in a settings template as the deployment page describes: values, sections
// and inverted sections.

var (
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)
	sectionTag  = regexp.MustCompile(`\{\{([#^])([a-zA-Z0-9_.]+)\}\}`)
)

// render fills in a template from the fields of a machine.
func render(text string, fields map[string]any) string {
	for {
		m := sectionTag.FindStringSubmatchIndex(text)
		if m == nil {
			break
		}
		kind, name := text[m[2]:m[3]], text[m[4]:m[5]]
		closing := "{{/" + name + "}}"
		end := strings.Index(text[m[1]:], closing)
		if end < 0 {
			panic("template: section " + name + " is not closed")
		}
		body := text[m[1] : m[1]+end]
		value := lookup(fields, name)
		present := value != nil && value != false
		if present != (kind == "#") {
			body = ""
		}
		text = text[:m[0]] + body + text[m[1]+end+len(closing):]
	}
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		value := lookup(fields, m[1])
		if m[2] != "" {
			b, _ := json.Marshal(value)
			return string(b)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(value any, path string) any {
	for _, part := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []any:
			i, err := strconv.Atoi(part)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}
