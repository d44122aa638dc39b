#ifndef TURMERICSWITCH_RULES_RULES_HPP
#define TURMERICSWITCH_RULES_RULES_HPP

/// @file
/// Module rules: the operators' file. It parses, prints, compiles and
/// compares rule sets; docs/rules.md has the grammar.
///
/// Dependencies: core, naming.

#include "rules/compile/compiler.hpp"
#include "rules/compile/rule_diff.hpp"
#include "rules/model/rule_set.hpp"
#include "rules/text/parser.hpp"
#include "rules/text/printer.hpp"

#endif
