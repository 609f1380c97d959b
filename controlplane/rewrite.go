package controlplane

import (
	"fmt"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	route "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	matcher "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"

	"lockloom/internal/config"
)

// maxCapture is the highest number of a capture group that a subscriber's substitution can refer to.
const maxCapture = 9

var redirectCodes = map[int]route.RedirectAction_RedirectResponseCode{
	http.StatusMovedPermanently:  route.RedirectAction_MOVED_PERMANENTLY,
	http.StatusFound:             route.RedirectAction_FOUND,
	http.StatusSeeOther:          route.RedirectAction_SEE_OTHER,
	http.StatusTemporaryRedirect: route.RedirectAction_TEMPORARY_REDIRECT,
	http.StatusPermanentRedirect: route.RedirectAction_PERMANENT_REDIRECT,
}

// redirectAction returns a redirect as URL parts, from which subscribers build the location.
func redirectAction(redirect *config.Redirect) (*route.RedirectAction, error) {
	if strings.Contains(redirect.To, "$") {
		return nil, fmt.Errorf("redirect to %q: captures cannot be expressed in xDS", redirect.To)
	}
	target, err := url.Parse(redirect.To)
	if err != nil {
		return nil, fmt.Errorf("redirect: %w", err)
	}
	code, ok := redirectCodes[redirect.Status]
	if !ok {
		return nil, fmt.Errorf("redirect with status %d cannot be expressed in xDS", redirect.Status)
	}
	action := &route.RedirectAction{
		ResponseCode: code,
		HostRedirect: target.Host,
		StripQuery:   !redirect.KeepPath,
	}
	if target.Scheme != "" {
		action.SchemeRewriteSpecifier = &route.RedirectAction_SchemeRedirect{SchemeRedirect: target.Scheme}
	}
	if !redirect.KeepPath {
		action.PathRewriteSpecifier = &route.RedirectAction_PathRedirect{PathRedirect: target.RequestURI()}
		return action, nil
	}
	if strings.Trim(target.Path, "/") != "" {
		return nil, fmt.Errorf(
			"redirect to %q with the path of the request appended cannot be expressed in xDS: the target has a path",
			redirect.To)
	}
	return action, nil
}

// setRewrite sets the rewrite of the path, if one is configured.
func setRewrite(action *route.RouteAction, configured *config.Route) error {
	if configured.Rewrite == "" {
		return nil
	}
	if configured.Regex == "" {
		action.PrefixRewrite = configured.Rewrite
		return nil
	}
	replacement, err := substitution(configured.Regex, configured.Rewrite)
	if err != nil {
		return err
	}
	action.RegexRewrite = &matcher.RegexMatchAndSubstitute{
		Pattern:      &matcher.RegexMatcher{Regex: unanchored(configured.Regex)},
		Substitution: replacement,
	}
	return nil
}

// captureReference matches $$, ${NAME} and $NAME in the replacement of a rewrite.
var captureReference = regexp.MustCompile(`\$\$|\$\{(\w+)\}|\$(\w+)`)

// substitution translates a replacement that refers to captures by $1 and ${name} to one that refers to them by \1.
func substitution(expr, replacement string) (string, error) {
	re, err := regexp.Compile(expr)
	if err != nil {
		return "", err
	}
	escaped := strings.ReplaceAll(replacement, `\`, `\\`)
	translated := captureReference.ReplaceAllStringFunc(escaped, func(reference string) string {
		if reference == "$$" {
			return "$"
		}
		name := strings.Trim(reference, "${}")
		capture, notNumber := strconv.Atoi(name)
		if notNumber != nil {
			capture = re.SubexpIndex(name)
		}
		if capture < 0 || capture > re.NumSubexp() || capture > maxCapture {
			err = fmt.Errorf("rewrite %q: capture %q does not exist or cannot be expressed in xDS", replacement, name)
			return ""
		}
		return `\` + strconv.Itoa(capture)
	})
	return translated, err
}
