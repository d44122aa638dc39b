#ifndef TURMERICSWITCH_RULES_RULES_HPP
#define TURMERICSWITCH_RULES_RULES_HPP

/// @file
/// Module rules: the rules file that operators write. It parses, prints and
/// compares rule sets and compiles them to a configuration; docs/rules.md has
/// the grammar.
///
/// Dependencies: core, naming.

#include "rules/compile/compiler.hpp"
#include "rules/compile/rule_diff.hpp"
#include "rules/model/rule_set.hpp"
#include "rules/text/parser.hpp"
#include "rules/text/printer.hpp"

#endif
