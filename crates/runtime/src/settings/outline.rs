//! Index of the keys of a YAML text, built without a full parse. It gives each
//! finding a line and lets parsing continue after the first problem.

/// Key in block style.
#[derive(Debug)]
struct Key {
    path: String,
    /// Index of the line, from 0.
    line: usize,
    indent: usize,
}

/// Lines and keys of a text.
#[derive(Debug)]
pub struct Outline {
    lines: Vec<String>,
    keys: Vec<Key>,
}

impl Outline {
    /// Finds the keys of a text.
    pub fn new(text: &str) -> Self {
        let lines: Vec<String> = text.lines().map(str::to_owned).collect();
        let mut keys: Vec<Key> = Vec::new();
        let mut parents: Vec<(usize, String)> = Vec::new();
        for (line, content) in lines.iter().enumerate() {
            let Some((indent, name)) = key_of(content) else {
                continue;
            };
            parents.retain(|(outer, _)| *outer < indent);
            let outer = parents.last().map(|(_, path)| format!("{path}."));
            let path = outer.unwrap_or_default() + name;
            parents.push((indent, path.clone()));
            keys.push(Key { path, line, indent });
        }
        Outline { lines, keys }
    }

    /// Returns the line, from 1, of a field or of its nearest enclosing key.
    pub fn line_of(&self, field: &str) -> Option<u64> {
        let mut path = field;
        loop {
            if let Some(key) = self.keys.iter().find(|key| key.path == path) {
                return Some(key.line as u64 + 1);
            }
            path = path.rsplit_once('.')?.0;
        }
    }

    /// Returns the path of the key on a line, from 1, or of the nearest one above.
    pub fn path_at(&self, line: u64) -> Option<&str> {
        let line = usize::try_from(line).ok()?.checked_sub(1)?;
        let above = self.keys.iter().rev().find(|key| key.line <= line);
        above.map(|key| &*key.path)
    }

    /// Returns the text without the key on a line, from 1, and its content.
    /// `unknown_field` is the name of the key if it may be a member of a flow
    /// mapping.
    pub fn without(&self, line: u64, unknown_field: Option<&str>) -> Option<String> {
        let line = usize::try_from(line).ok()?.checked_sub(1)?;
        let mut lines = self.lines.clone();
        let key = self.keys.iter().find(|key| key.line == line)?;
        let key_name = key.path.rsplit('.').next();
        if let Some(name) = unknown_field.filter(|name| key_name != Some(name)) {
            lines[line] = without_member(&lines[line], name)?;
            return Some(lines.join("\n"));
        }
        let following = lines.iter().skip(line + 1);
        let content =
            following.take_while(|next| next.trim().is_empty() || indent(next) > key.indent);
        let end = line + 1 + content.count();
        // Blanked lines preserve the line numbers of the others.
        lines[line..end].fill(String::new());
        Some(lines.join("\n"))
    }
}

fn indent(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}

fn key_of(line: &str) -> Option<(usize, &str)> {
    let content = line.trim_start_matches(' ');
    let (name, rest) = content.split_once(':')?;
    let allowed = |c: char| c.is_alphanumeric() || c == '_' || c == '-';
    let is_key = !name.is_empty() && name.chars().all(allowed) && !name.starts_with('-');
    let ends_key = rest.is_empty() || rest.starts_with(' ');
    (is_key && ends_key).then(|| (indent(line), name))
}

/// Removes a member of a flow mapping that is on one line.
fn without_member(line: &str, name: &str) -> Option<String> {
    let member = format!("{name}:");
    let starts = line.match_indices(&member).map(|(start, _)| start);
    let in_braces = |start: &usize| line[..*start].trim_end().ends_with(['{', ',']);
    let start = starts.into_iter().find(in_braces)?;
    let mut depth = 0;
    let mut quote = None;
    for (offset, c) in line[start..].char_indices() {
        let end = start + offset;
        match (quote, c) {
            (Some(open), c) if c == open => quote = None,
            (Some(_), _) => {}
            (None, '\'' | '"') => quote = Some(c),
            (None, '{' | '[') => depth += 1,
            (None, '}' | ']') if depth > 0 => depth -= 1,
            (None, ',') if depth == 0 => return Some(line[..start].to_owned() + &line[end + 1..]),
            (None, '}') => return Some(line[..start].to_owned() + &line[end..]),
            _ => {}
        }
    }
    None
}
