package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// render fills a template of settings as the users' platform does (DEPLOY.md): {{a.b}}, {{a|json}}, sections
// {{#a}}..{{/a}} and {{^a}}..{{/a}}, {{.}} for an element and {{,}} between elements.
func render(path string, fields map[string]any) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	out, rest, err := renderPart(string(text), fields, nil, "", false)
	if err == nil && rest != "" {
		err = fmt.Errorf("text is left after the end of the template: %.40q", rest)
	}
	return out, err
}

// renderPart renders up to the end of the section, and returns the text after it.
func renderPart(text string, fields map[string]any, element any, section string, last bool) (string, string, error) {
	var b strings.Builder
	for {
		before, rest, found := strings.Cut(text, "{{")
		b.WriteString(before)
		if !found {
			return b.String(), "", nil
		}
		tag, after, _ := strings.Cut(rest, "}}")
		text = after
		switch {
		case tag == "/"+section:
			return b.String(), text, nil
		case tag == ",":
			if !last {
				b.WriteString(",")
			}
		case tag == ".":
			b.WriteString(plain(element))
		case tag[0] == '#' || tag[0] == '^':
			part, next, err := renderSection(tag, text, fields)
			if err != nil {
				return "", "", err
			}
			b.WriteString(part)
			text = next
		case strings.HasSuffix(tag, "|json"):
			j, err := json.Marshal(lookup(fields, strings.TrimSuffix(tag, "|json")))
			if err != nil {
				return "", "", err
			}
			b.Write(j)
		default:
			b.WriteString(plain(lookup(fields, tag)))
		}
	}
}

func renderSection(tag, text string, fields map[string]any) (string, string, error) {
	name, value := tag[1:], lookup(fields, tag[1:])
	list, isList := value.([]any)
	if !isList {
		list = []any{value}
		if value == nil || value == false {
			list = nil
		}
	}
	_, next, err := renderPart(text, fields, nil, name, true)
	if err != nil {
		return "", "", err
	}
	if tag[0] == '^' {
		if len(list) > 0 {
			return "", next, nil
		}
		list = []any{nil}
	}
	var b strings.Builder
	for i, e := range list {
		part, _, err := renderPart(text, fields, e, name, i == len(list)-1)
		if err != nil {
			return "", "", err
		}
		b.WriteString(part)
	}
	return b.String(), next, nil
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, k := range strings.Split(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[k]
		case []any:
			i, err := strconv.Atoi(k)
			if err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}

func plain(v any) string {
	switch x := v.(type) {
	case nil:
		return ""
	case string:
		return x
	case float64:
		return strconv.FormatFloat(x, 'f', -1, 64)
	default:
		return fmt.Sprint(x)
	}
}
