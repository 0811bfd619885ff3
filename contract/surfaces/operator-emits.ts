/**
 * Finds in the source which fields each event is logged with. Events are followed from the calls of `emit` to their
 * declarations, through variables, parameters of helpers and option objects, so that moves and new names change
 * nothing.
 */
import ts from 'typescript';
import { productionFiles, sourceProgram, walk } from './operator-source.js';

/** Arguments of the calls through which an expression was reached, by parameter. */
type Bindings = ReadonlyMap<ts.Node, ts.Expression>;

const NO_BINDINGS: Bindings = new Map();
/** Helpers that pass on to helpers are followed this far. */
const MAX_DEPTH = 6;
/** Stands for fields that the source does not name. */
const UNNAMED = '*';

/** Field names by event number; the whole scan. */
export function scanEmits(): Map<number, Set<string>> {
  return new EmitScan().run();
}

class EmitScan {
  private readonly checker = sourceProgram().getTypeChecker();
  private readonly calls = new Map<ts.Node, (ts.CallExpression | ts.NewExpression)[]>();
  private readonly assignments = new Map<string, ts.Expression[]>();
  private readonly emits: ts.CallExpression[] = [];
  private readonly found = new Map<number, Set<string>>();

  run(): Map<number, Set<string>> {
    for (const file of productionFiles()) walk(file, (node) => this.index(node));
    for (const call of this.emits) this.record(call, NO_BINDINGS, 0);
    return this.found;
  }

  private index(node: ts.Node): void {
    if (ts.isPropertyAssignment(node)) push(this.assignments, node.name.getText(), node.initializer);
    if (!ts.isCallExpression(node) && !ts.isNewExpression(node)) return;
    if (ts.isCallExpression(node) && this.isEmit(node)) this.emits.push(node);
    const declaration = this.checker.getResolvedSignature(node)?.declaration;
    if (declaration) push(this.calls, declaration, node);
  }

  /** True for calls of a method that takes an event definition and fields, whatever holds the method. */
  private isEmit(call: ts.CallExpression): boolean {
    if (!ts.isPropertyAccessExpression(call.expression) || call.expression.name.text !== 'emit') return false;
    const event = call.arguments[0];
    if (event === undefined) return false;
    const type = this.checker.getTypeAtLocation(event);
    return ['number', 'level', 'action'].every((name) => this.checker.getPropertyOfType(type, name));
  }

  /** Notes the fields of one call; where it depends on parameters of its function, once for each call of that. */
  private record(call: ts.CallExpression, bindings: Bindings, depth: number): void {
    const open = depth < MAX_DEPTH ? this.openFunction(call, bindings) : undefined;
    if (open) {
      for (const outer of this.calls.get(open) ?? [])
        this.record(call, bind(open, outer, bindings), depth + 1);
      return;
    }
    const fields = call.arguments[1] ? this.fields(call.arguments[1], bindings, 0) : [];
    const numbers = this.numbers(call.arguments[0], bindings, 0);
    if (numbers.length === 0) throw new Error(`No event is found for ${call.getText()}`);
    for (const number of numbers) {
      const known = this.found.get(number) ?? new Set<string>();
      for (const field of fields) known.add(field);
      this.found.set(number, known);
    }
  }

  /** A function whose calls decide what is emitted: one of its parameters stands, unbound, in the arguments. */
  private openFunction(call: ts.CallExpression, bindings: Bindings): ts.SignatureDeclaration | undefined {
    const pending: ts.Expression[] = [...call.arguments].filter((argument) => this.isDeciding(argument));
    const seen = new Set<ts.Node>();
    for (let next = pending.pop(); next; next = pending.pop()) {
      if (seen.has(next)) continue;
      seen.add(next);
      for (const declaration of this.referred(next)) {
        if (ts.isParameter(declaration)) {
          const bound = bindings.get(declaration);
          if (bound) pending.push(bound);
          else if (!bindings.has(declaration) && this.calls.has(declaration.parent))
            return declaration.parent;
        } else if (ts.isVariableDeclaration(declaration) && declaration.initializer) {
          pending.push(declaration.initializer);
        }
      }
    }
    return undefined;
  }

  /** Of an object literal only what is spread decides about names. */
  private isDeciding(node: ts.Expression): boolean {
    return !ts.isObjectLiteralExpression(node) || node.properties.some(ts.isSpreadAssignment);
  }

  /** Declarations of the identifiers that choose the event or spread fields. */
  private referred(node: ts.Expression): ts.Declaration[] {
    if (ts.isConditionalExpression(node)) {
      return [...this.referred(node.whenTrue), ...this.referred(node.whenFalse)];
    }
    if (ts.isObjectLiteralExpression(node)) {
      return node.properties.filter(ts.isSpreadAssignment).flatMap((each) => this.referred(each.expression));
    }
    if (ts.isElementAccessExpression(node)) return this.referred(node.argumentExpression);
    if (ts.isParenthesizedExpression(node)) return this.referred(node.expression);
    if (!ts.isIdentifier(node)) return [];
    return this.declarations(node);
  }

  private declarations(node: ts.Node): ts.Declaration[] {
    const parent = node.parent;
    const symbol =
      ts.isShorthandPropertyAssignment(parent) && parent.name === node
        ? this.checker.getShorthandAssignmentValueSymbol(parent)
        : this.checker.getSymbolAtLocation(node);
    if (!symbol) return [];
    const target = symbol.flags & ts.SymbolFlags.Alias ? this.checker.getAliasedSymbol(symbol) : symbol;
    return target.declarations ?? [];
  }

  /** Numbers of the events that an expression may stand for. */
  private numbers(node: ts.Expression | undefined, bindings: Bindings, depth: number): number[] {
    if (node === undefined || depth > 2 * MAX_DEPTH) return [];
    const next = (inner: ts.Expression | undefined) => this.numbers(inner, bindings, depth + 1);
    if (ts.isParenthesizedExpression(node) || ts.isAsExpression(node) || ts.isNonNullExpression(node)) {
      return next(node.expression);
    }
    if (ts.isConditionalExpression(node)) return [...next(node.whenTrue), ...next(node.whenFalse)];
    if (ts.isBinaryExpression(node)) return [...next(node.left), ...next(node.right)];
    if (ts.isObjectLiteralExpression(node)) return numberOf(node);
    if (ts.isElementAccessExpression(node)) return this.elementNumbers(node, bindings, depth);
    const name = ts.isPropertyAccessExpression(node) ? node.name : node;
    if (ts.isCallExpression(node)) return this.returned(node).flatMap(next);
    return this.declarations(name).flatMap((declaration) =>
      this.declaredNumbers(declaration, bindings, depth),
    );
  }

  private declaredNumbers(declaration: ts.Declaration, bindings: Bindings, depth: number): number[] {
    const next = (inner: ts.Expression | undefined) => this.numbers(inner, bindings, depth + 1);
    if (ts.isPropertyAssignment(declaration)) return next(declaration.initializer);
    if (ts.isShorthandPropertyAssignment(declaration)) return next(declaration.name);
    if (ts.isParameter(declaration) && bindings.has(declaration)) return next(bindings.get(declaration));
    if (ts.isVariableDeclaration(declaration)) return next(declaration.initializer);
    if (ts.isPropertySignature(declaration) || ts.isBindingElement(declaration)) {
      const name = ts.isBindingElement(declaration)
        ? (declaration.propertyName ?? declaration.name).getText()
        : declaration.name.getText();
      return (this.assignments.get(name) ?? []).filter((each) => this.isEvent(each)).flatMap(next);
    }
    if (ts.isParameter(declaration)) return this.parameterNumbers(declaration, bindings, depth);
    return [];
  }

  /** Of a parameter property: what any construction passes. */
  private parameterNumbers(parameter: ts.ParameterDeclaration, bindings: Bindings, depth: number): number[] {
    const index = parameter.parent.parameters.indexOf(parameter);
    const calls = this.calls.get(parameter.parent) ?? [];
    return calls.flatMap((call) => this.numbers(call.arguments?.[index], bindings, depth + 1));
  }

  private isEvent(node: ts.Expression): boolean {
    const type = this.checker.getTypeAtLocation(node);
    return ['number', 'level', 'action'].every((name) => this.checker.getPropertyOfType(type, name));
  }

  /** `EVENTS[name]`: the members that `name` may have. */
  private elementNumbers(node: ts.ElementAccessExpression, bindings: Bindings, depth: number): number[] {
    const type = this.checker.getTypeAtLocation(node.expression);
    return this.texts(node.argumentExpression, bindings).flatMap((text) =>
      (this.checker.getPropertyOfType(type, text)?.declarations ?? []).flatMap((declaration) =>
        this.declaredNumbers(declaration, bindings, depth + 1),
      ),
    );
  }

  private texts(node: ts.Expression, bindings: Bindings): string[] {
    if (ts.isConditionalExpression(node)) {
      return [...this.texts(node.whenTrue, bindings), ...this.texts(node.whenFalse, bindings)];
    }
    for (const declaration of this.declarations(node)) {
      const bound = bindings.get(declaration);
      if (bound) return this.texts(bound, bindings);
    }
    if (ts.isStringLiteral(node)) return [node.text];
    const type = this.checker.getTypeAtLocation(node);
    return (type.isUnion() ? type.types : [type]).flatMap((each) =>
      each.isStringLiteral() ? [each.value] : [],
    );
  }

  /** Names of the fields that an expression holds. */
  private fields(node: ts.Expression, bindings: Bindings, depth: number): string[] {
    const next = (inner: ts.Expression) => this.fields(inner, bindings, depth + 1);
    if (depth > 2 * MAX_DEPTH) return [UNNAMED];
    if (ts.isParenthesizedExpression(node) || ts.isAsExpression(node)) return next(node.expression);
    if (ts.isConditionalExpression(node)) return [...next(node.whenTrue), ...next(node.whenFalse)];
    if (ts.isObjectLiteralExpression(node)) {
      return node.properties.flatMap((property) =>
        ts.isSpreadAssignment(property) ? next(property.expression) : [property.name.getText()],
      );
    }
    for (const declaration of this.declarations(node)) {
      if (ts.isParameter(declaration) && bindings.has(declaration)) {
        const bound = bindings.get(declaration);
        return bound ? next(bound) : [];
      }
      if (ts.isVariableDeclaration(declaration) && declaration.initializer) {
        return next(declaration.initializer);
      }
    }
    return this.typedFields(node, next);
  }

  /** From the type; where that has no names, from what the called function returns. */
  private typedFields(node: ts.Expression, next: (inner: ts.Expression) => string[]): string[] {
    const type = this.checker.getNonNullableType(this.checker.getTypeAtLocation(node));
    const parts = type.isUnion() ? type.types : [type];
    const names = parts.flatMap((part) => this.checker.getPropertiesOfType(part).map(({ name }) => name));
    if (names.length > 0) return names;
    const returned = ts.isCallExpression(node) ? this.returned(node) : [];
    return returned.length > 0 ? returned.flatMap(next) : [UNNAMED];
  }

  /** The expressions that a called function returns. */
  private returned(call: ts.CallExpression): ts.Expression[] {
    const body = (
      this.checker.getResolvedSignature(call)?.declaration as ts.FunctionLikeDeclaration | undefined
    )?.body;
    if (!body) return [];
    if (!ts.isBlock(body)) return [body];
    const results: ts.Expression[] = [];
    walk(body, (node) => {
      if (ts.isReturnStatement(node) && node.expression) results.push(node.expression);
    });
    return results;
  }
}

function push<Key, Value>(map: Map<Key, Value[]>, key: Key, value: Value): void {
  const known = map.get(key);
  if (known) known.push(value);
  else map.set(key, [value]);
}

/** Binds the parameters of a function to one call's arguments; a left out one is bound to its default. */
function bind(
  target: ts.SignatureDeclaration,
  call: ts.CallExpression | ts.NewExpression,
  outer: Bindings,
): Bindings {
  const bindings = new Map(outer);
  target.parameters.forEach((parameter, index) => {
    const bound = call.arguments?.[index] ?? parameter.initializer;
    bindings.set(parameter, bound as ts.Expression);
  });
  return bindings;
}

function numberOf(literal: ts.ObjectLiteralExpression): number[] {
  return literal.properties.flatMap((property) =>
    ts.isPropertyAssignment(property) &&
    property.name.getText() === 'number' &&
    ts.isNumericLiteral(property.initializer)
      ? [Number(property.initializer.text)]
      : [],
  );
}
