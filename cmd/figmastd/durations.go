package main

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/figmast/figmast/daemon"
)

// extractInvalidDurations removes invalid durations from the command line and from
// the environment, and returns the remaining arguments and an error for each
// duration removed. go-arg would stop at the first one, whereas all invalid
// settings are to be reported together.
func extractInvalidDurations(line []string) (rest []string, errs []error) {
	flags, variables := durationNames()
	for i := 0; i < len(line); i++ {
		flag, value, joined := strings.Cut(line[i], "=")
		if !flags[flag] || !joined && i+1 == len(line) {
			rest = append(rest, line[i])
			continue
		}
		arguments := line[i : i+1]
		if !joined {
			i++
			arguments, value = line[i-1:i+1], line[i]
		}
		if _, err := time.ParseDuration(value); err != nil {
			errs = append(errs, durationError(flag, value))
			continue
		}
		rest = append(rest, arguments...)
	}
	for _, name := range variables {
		value, set := os.LookupEnv(name)
		if _, err := time.ParseDuration(value); set && err != nil {
			errs = append(errs, durationError(name, value))
			_ = os.Unsetenv(name) // cannot fail: the name is a constant without "="
		}
	}
	return rest, errs
}

func durationError(name, value string) error {
	return fmt.Errorf("%s: %q is not a duration such as 250ms or 5s", name, value)
}

// durationNames returns the flags and the environment variables of the
// settings of type time.Duration.
func durationNames() (flags map[string]bool, variables []string) {
	flags = make(map[string]bool)
	t := reflect.TypeFor[daemon.Settings]()
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Type != reflect.TypeFor[time.Duration]() {
			continue
		}
		for _, part := range strings.Split(f.Tag.Get("arg"), ",") {
			if name, ok := strings.CutPrefix(part, "env:"); ok {
				variables = append(variables, name)
			} else {
				flags[part] = true
			}
		}
	}
	return flags, variables
}
