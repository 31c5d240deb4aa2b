package observe

import (
	"fmt"
	"strconv"
	"strings"
)

// pair formats one part of a log line; values with spaces are quoted.
func pair(key string, value any) string {
	v := fmt.Sprint(value)
	if strings.ContainsAny(v, " =\"\n") {
		v = strconv.Quote(v)
	}
	return key + "=" + v
}
