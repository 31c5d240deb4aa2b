package observe

import (
	"fmt"
	"strconv"
	"strings"
)

// formatPair formats one field of a log line; values with special characters are quoted.
func formatPair(key string, value any) string {
	v := fmt.Sprint(value)
	if strings.ContainsAny(v, " =\"\n") {
		v = strconv.Quote(v)
	}
	return key + "=" + v
}
