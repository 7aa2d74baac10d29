package intent

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	matchesName := func(fl validator.FieldLevel) bool {
		return namePattern.MatchString(fl.Field().String())
	}
	// Registration fails only for an empty tag or a nil function.
	if err := v.RegisterValidation("name", matchesName); err != nil {
		panic(err)
	}
	return v
}

// Check names all that is wrong with a document: it returns nil or an
// *InvalidError.
func Check(d *Document) error {
	faults := fieldFaults(d)
	faults = append(faults, referenceFaults(d)...)
	if len(faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: faults}
}

func fieldFaults(d *Document) []Fault {
	var invalid validator.ValidationErrors
	if err := validate.Struct(d); !errors.As(err, &invalid) {
		return nil
	}
	faults := make([]Fault, 0, len(invalid))
	for _, f := range invalid {
		path := strings.TrimPrefix(f.Namespace(), "Document.")
		faults = append(faults, Fault{Path: path, Problem: problem(f)})
	}
	return faults
}

func problem(f validator.FieldError) string {
	switch f.Tag() {
	case "required", "required_if":
		return "is missing"
	case "name":
		return fmt.Sprintf("%q is not a name: lower-case letters, digits, '.', '_' and '-' are allowed", f.Value())
	case "unique":
		return "holds a name twice"
	case "min":
		return fmt.Sprintf("must be at least %s", f.Param())
	case "max":
		return fmt.Sprintf("must be at most %s", f.Param())
	case "oneof":
		return "must be one of: " + f.Param()
	default:
		return strings.TrimSpace("must satisfy " + f.Tag() + " " + f.Param())
	}
}

// referenceFaults finds names that nothing in the document bears.
func referenceFaults(d *Document) []Fault {
	models := make(map[string]bool, len(d.Models))
	for _, m := range d.Models {
		models[m.Name] = true
	}
	kinds := make(map[string]Kind, len(d.Pools))
	var faults []Fault
	for i, p := range d.Pools {
		kinds[p.Name] = p.Kind
		if p.Kind == Engine && p.Model != "" && !models[p.Model] {
			path := fmt.Sprintf("pools[%d].model", i)
			faults = append(faults, Fault{Path: path, Problem: fmt.Sprintf("there is no model %q", p.Model)})
		}
	}
	for i, s := range d.Services {
		if kinds[s.Pool] != PlainService {
			path := fmt.Sprintf("services[%d].pool", i)
			faults = append(faults, Fault{Path: path, Problem: fmt.Sprintf("there is no pool %q of kind service", s.Pool)})
		}
	}
	return faults
}
