//! The check that functions fail with types: no `Result<_, String>`, nor `Result<_, &str>`.
use crate::source::SourceFile;
use crate::tokens::Token;
use crate::Violation;

/// The tokens of the last argument of the generic list that begins behind `open`, if there are two or more.
fn last_argument<'t>(code: &[&'t Token], open: usize) -> Option<Vec<&'t Token>> {
    let (mut depth, mut arguments, mut current) = (0_usize, 0, Vec::new());
    for (at, token) in code.iter().enumerate().skip(open) {
        if token.is(">") && at > 0 && code[at - 1].is("-") {
            current.push(*token);
            continue;
        }
        if ["<", "(", "["].iter().any(|sign| token.is(sign)) {
            depth += 1;
        } else if [">", ")", "]"].iter().any(|sign| token.is(sign)) {
            if depth == 0 {
                return (arguments > 0 && !current.is_empty()).then_some(current);
            }
            depth -= 1;
        } else if depth == 0 && token.is(",") {
            // A comma behind the last argument adds none.
            if code.get(at + 1).is_some_and(|next| next.is(">")) {
                arguments = arguments.max(1);
                continue;
            }
            arguments += 1;
            current.clear();
            continue;
        }
        current.push(*token);
    }
    None
}

/// Where a file's code fails with text.
pub fn errors_as_text(file: &SourceFile) -> Vec<Violation> {
    let code = file.code();
    let mut found = Vec::new();
    for at in 0..code.len() {
        let opens = code[at].is("Result") && code.get(at + 1).is_some_and(|t| t.is("<"));
        if !opens {
            continue;
        }
        let Some(error) = last_argument(&code, at + 2) else { continue };
        let text = error.iter().map(|t| t.text.as_str()).collect::<String>();
        if matches!(text.as_str(), "String" | "std::string::String" | "&str" | "&'staticstr") {
            let what =
                format!("fails with {text}: an error is a type that says what went wrong and the mend");
            found.push(Violation { file: file.path.clone(), line: code[at].line, what });
        }
    }
    found
}
